package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.speed.SpeedSum;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.SharedObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Status exchange of 60 entry nodes in three zones with hubs. */
public class NodeMeshAtScaleTest {
    private static final int NODES = 60;
    private static final int ZONES = 3;

    private ManualScheduler time;
    private Map<String, MeshMember> members;

    @BeforeMethod
    public void begin() {
        time = new ManualScheduler();
        members = new TreeMap<>();
        IntStream.range(0, NODES).forEach(this::add);
        members.values().forEach(each -> members.values().forEach(other -> each.mesh.addPeer(other.identity)));
        time.advance(Duration.ofSeconds(3));
    }

    private void add(int number) {
        String zone = "z" + number % ZONES;
        String name = "%s-%02d".formatted(zone, number / ZONES);
        members.put(name, new MeshMember(time, members, name, zone));
    }

    private long countFrames(Duration span) {
        long before =
                members.values().stream().mapToLong(each -> each.sentFrames).sum();
        time.advance(span);
        return members.values().stream().mapToLong(each -> each.sentFrames).sum() - before;
    }

    private static List<String> readyAddresses(MeshMember member) {
        return member.mesh.readyNodes().stream().map(NodeIdentity::callers).toList();
    }

    @Test
    public void everyNodeListsEveryReadyNode() {
        members.values().forEach(each -> assertEquals(each.mesh.readyNodes().size(), NODES));
        assertTrue(members.get("z1-05").mesh.readyAddresses().getFirst().startsWith("z1-"));
    }

    /** Guards against a number of frames that grows with the square of the nodes. */
    @Test
    public void framesGrowLinearlyWithTheNodes() {
        long frames = countFrames(Duration.ofMillis(3200));
        assertTrue(frames < 10 * 4 * NODES, "frames " + frames);
    }

    /** Guards against a zone timing out when its hub fails. */
    @Test
    public void failedHubIsReplacedBeforeItsZoneTimesOut() {
        members.get("z0-00").disconnected = true;
        IntStream.range(0, 40).forEach(step -> {
            time.advance(Duration.ofMillis(100));
            int advertised = members.get("z1-07").mesh.readyNodes().size();
            assertTrue(advertised >= NODES - 1, "advertised " + advertised + " after " + step + " steps");
        });
        assertFalse(readyAddresses(members.get("z1-07")).contains("z0-00:80"));
        members.get("z0-00").disconnected = false;
        time.advance(Duration.ofSeconds(3));
        members.values().forEach(each -> assertEquals(each.mesh.readyNodes().size(), NODES));
        long frames = countFrames(Duration.ofMillis(3200));
        assertTrue(frames < 10 * 4 * NODES, "frames " + frames);
    }

    /** A node that shuts down is no longer advertised by any node within 330 ms. */
    @Test
    public void drainingNodeIsNotAdvertised() {
        MeshMember stopping = members.get("z2-11");
        stopping.ready = false;
        stopping.mesh.sendNow();
        time.advance(Duration.ofMillis(330));
        members.values().forEach(each -> assertFalse(readyAddresses(each).contains(stopping.identity.callers())));
    }

    /** Guards against changes not reaching nodes that the platform rejects, here all nodes of two zones. */
    @Test
    public void changesReachNodesThatThePlatformRejects() {
        SharedObject runner = new SharedObject("r1", 5, false, new byte[] {1});
        members.values().forEach(each -> each.runners.replace(new ObjectChanges(List.of(runner), 5)));
        SharedObject gone = new SharedObject("r1", 5, true, new byte[0]);
        members.get("z2-03").runners.apply(new ObjectChanges(List.of(gone), 9));
        time.advance(Duration.ofMillis(1900));
        members.values().forEach(each -> assertEquals(each.runners.present(), List.of(), each.identity.name()));
    }

    /** Guards against a restarted node without any known peers staying isolated; its hub must find it. */
    @Test
    public void nodeWithoutPeersIsFound() {
        members.remove("z1-04");
        time.advance(Duration.ofSeconds(3));
        add(4 * ZONES + 1);
        time.advance(Duration.ofSeconds(6));
        assertEquals(members.get("z1-04").mesh.readyNodes().size(), NODES);
    }

    private static FleetReport waiting(int count) {
        return new FleetReport(Map.of("engines", Map.of(0, count)), Map.of(), Map.of((long) count, 500));
    }

    /** Guards against a backlog that nodes of other zones, the own zone or the hub itself count twice or not at all. */
    @Test
    public void everyNodeSeesTheBacklogOfAllOthers() {
        int[] total = {0};
        members.values().forEach(each -> each.ownReport = waiting(++total[0]));
        int sum = NODES * (NODES + 1) / 2;
        time.advance(Duration.ofMillis(700));
        members.values().forEach(each -> {
            int own = each.ownReport.waitingUpTo("engines", 0);
            assertEquals(each.othersReport.waitingUpTo("engines", 0), sum - own, each.identity.name());
            assertTrue(each.othersReport.returnMillis().size() >= NODES - 1, each.identity.name());
            each.othersReport.returnMillis().values().forEach(left -> assertTrue(left <= 500 && left >= 0));
        });
    }

    /** Guards against a backlog that stays in the total after its node or the whole zone is gone. */
    @Test
    public void backlogOfSilentNodesIsDropped() {
        members.values().forEach(each -> each.ownReport = waiting(1));
        time.advance(Duration.ofMillis(700));
        members.get("z1-07").kill();
        members.values().stream()
                .filter(each -> each.identity.zone().equals("z2"))
                .forEach(MeshMember::kill);
        time.advance(Duration.ofSeconds(4));
        members.values().stream()
                .filter(each -> !each.disconnected)
                .forEach(each -> assertEquals(
                        each.othersReport.waitingUpTo("engines", 0), 2 * NODES / ZONES - 2, each.identity.name()));
    }

    /** Guards against additional frames caused by changing counts, beyond one per node and period. */
    @Test
    public void changingBacklogCausesNoFramesBeyondThePeriod() {
        long[] changes = {0};
        long before =
                members.values().stream().mapToLong(each -> each.sentFrames).sum();
        IntStream.range(0, 320).forEach(step -> {
            members.values().forEach(each -> each.ownReport = waiting((int) (++changes[0] % 9 + 1)));
            time.advance(Duration.ofMillis(10));
        });
        long frames =
                members.values().stream().mapToLong(each -> each.sentFrames).sum() - before;
        // 20 periods of 160 ms: one frame to the hub and one from it for each node, and those between the zones.
        assertTrue(frames < 20 * 2.5 * NODES, "frames " + frames);
    }

    /** Guards against frames and updates that only deployments with contention control need. */
    @Test
    public void emptyReportsCauseNoUpdates() {
        // Until the window of the quotas has passed, each state differs from the last one.
        time.advance(Duration.ofSeconds(6));
        members.values().forEach(each -> assertEquals(each.reportUpdates, 0));
        FleetReport speeds = new FleetReport(Map.of(), Map.of(1L, new SpeedSum(1, 1)), Map.of());
        long idle = countFrames(Duration.ofMillis(3200));
        members.values().forEach(each -> each.ownReport = speeds);
        long withSpeeds = countFrames(Duration.ofMillis(3200));
        assertTrue(Math.abs(withSpeeds - idle) <= NODES, withSpeeds + " against " + idle);
    }
}
