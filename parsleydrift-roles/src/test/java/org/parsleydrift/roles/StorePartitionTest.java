package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.conversation.BeginRequest;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.ReplicaReply;
import org.parsleydrift.conversation.ReplicaRequest;
import org.parsleydrift.conversation.StoreMember;
import org.parsleydrift.conversation.StoreSet;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Turns of 68 entry nodes in three zones with hubs, some of which are partitioned from all store VMs. */
public class StorePartitionTest {
    private static final int NODES = 68;
    private static final int ZONES = 3;
    private static final int SERVING_PER_ZONE = 8;
    private static final Duration TURN_INTERVAL = Duration.ofMillis(100);
    private static final Duration LATENCY = Duration.ofMillis(1);
    /** Time for a turn's store requests in a usual deployment. */
    private static final Duration TURN_TIMEOUT = Duration.ofSeconds(1);
    /** Time within which turns must be served again after the beginning of a partition. */
    private static final Duration RECOVERY_TIME = Duration.ofMillis(500);

    private ManualScheduler time;
    private Map<String, MeshMember> members;
    private Map<String, ReplicaCalls> stores;
    private Map<String, Conversations> serving;
    private Set<String> partitioned;
    private List<Outcome> outcomes;
    private int turns;

    private record Outcome(String node, long startNanos, long endNanos, BeginResult result) {
        private boolean isGrantedWithin(Duration span) {
            return result instanceof BeginResult.Granted && endNanos - startNanos <= span.toNanos();
        }
    }

    @BeforeMethod
    public void begin() {
        time = new ManualScheduler();
        members = new TreeMap<>();
        stores = new HashMap<>();
        serving = new TreeMap<>();
        partitioned = new HashSet<>();
        outcomes = new ArrayList<>();
        List<StoreMember> set = IntStream.range(0, 5)
                .mapToObj(number -> new StoreMember("s" + number, "d" + number, "s" + number))
                .toList();
        set.forEach(each -> addStore(each.address()));
        IntStream.range(0, NODES).forEach(number -> addNode(number, new StoreSet(1, set, List.of())));
        members.values().forEach(each -> members.values().forEach(other -> each.mesh.addPeer(other.identity)));
        run(Duration.ofSeconds(4));
        assertTrue(outcomes.stream().allMatch(each -> each.isGrantedWithin(Duration.ofMillis(20))));
        outcomes.clear();
    }

    private void addStore(String name) {
        FrameSender frames = sender((address, frame) -> {
            if (!partitioned.contains(address)) {
                members.get(address)
                        .loop
                        .schedule(
                                LATENCY, () -> members.get(address).otherFrames.accept(frame));
            }
        });
        stores.put(
                name,
                new ReplicaCalls(
                        time.newLoop(),
                        frames,
                        name,
                        request -> CompletableFuture.completedFuture(
                                request instanceof ReplicaRequest.Write
                                        ? new ReplicaReply.Written()
                                        : new ReplicaReply.Found(List.of(), List.of(), List.of()))));
    }

    private void addNode(int number, StoreSet set) {
        String zone = "z" + number % ZONES;
        String name = "%s-%02d".formatted(zone, number / ZONES);
        MeshMember member = new MeshMember(time, members, name, zone);
        members.put(name, member);
        FrameSender frames = sender((address, frame) -> {
            if (!stores.containsKey(address)) {
                member.frames.send(address, frame);
            } else if (!partitioned.contains(name)) {
                member.loop.schedule(LATENCY, () -> stores.get(address).receive(frame));
            }
        });
        ReplicaCalls calls = new ReplicaCalls(member.loop, frames, name, request -> new CompletableFuture<>());
        member.otherFrames = calls::receive;
        ConversationClient client = new ConversationClient(member.loop, calls);
        client.adopt(set);
        member.reachesStores = client::hasProvenQuorum;
        calls.setForwarders(new StoreForwarderSelector(member.mesh::storeForwarders, new Random(number), time::nanos));
        if (number >= NODES - SERVING_PER_ZONE * ZONES) {
            serving.put(name, new Conversations(client));
        }
    }

    private interface Send {
        void send(String address, byte[] frame);
    }

    private static FrameSender sender(Send send) {
        return new FrameSender() {
            @Override
            public void send(String address, byte[] frame) {
                send.send(address, frame);
            }

            @Override
            public void reset(String address) {}
        };
    }

    /** Advances the time while each serving node begins a turn at each interval. */
    private void run(Duration span) {
        long end = time.nanos() + span.toNanos();
        while (time.nanos() < end) {
            serving.forEach(this::beginTurn);
            time.advance(TURN_INTERVAL);
        }
    }

    private void beginTurn(String node, Conversations conversations) {
        long start = time.nanos();
        String id = "t" + ++turns;
        conversations
                .begin(new BeginRequest("p" + id, id, OptionalInt.of(100), 10, "", Duration.ofMinutes(1), TURN_TIMEOUT))
                .thenAccept(result -> outcomes.add(new Outcome(node, start, time.nanos(), result)));
    }

    /** Partitions a third of the nodes: the first two of each zone, which act as hubs, idle and serving ones. */
    private void partitionThird() {
        nodesByZone().forEach(zone -> {
            partitioned.addAll(zone.subList(0, 5));
            partitioned.addAll(zone.subList(zone.size() - 3, zone.size()));
        });
        assertTrue(partitioned.size() >= NODES / 3, partitioned.toString());
    }

    private Collection<List<String>> nodesByZone() {
        return members.keySet().stream()
                .collect(Collectors.groupingBy(name -> name.substring(0, 2), TreeMap::new, Collectors.toList()))
                .values();
    }

    private void assertAllGranted() {
        time.advance(TURN_TIMEOUT);
        List<Outcome> late = outcomes.stream()
                .filter(each -> !each.isGrantedWithin(RECOVERY_TIME))
                .toList();
        assertEquals(late, List.of(), describe(late));
    }

    private static String describe(List<Outcome> failed) {
        return failed.size() + " turns, by node and result "
                + failed.stream()
                        .collect(Collectors.groupingBy(
                                each -> each.node() + " " + each.result(), TreeMap::new, Collectors.counting()));
    }

    /**
     * Guards against rejecting all turns of partitioned nodes, because the hubs that they forward through are partitioned
     * as well and do not know it.
     */
    @Test
    public void partitionedNodesServeTurnsThroughPeers() {
        partitionThird();
        run(Duration.ofSeconds(6));
        assertAllGranted();
    }

    /** Guards against staying with a peer that has forwarded requests before and is then partitioned itself. */
    @Test
    public void partitionedForwardersAreReplaced() {
        partitionThird();
        run(Duration.ofSeconds(2));
        // All but four nodes in each zone are partitioned now, and the serving ones among them have no path of their
        // own.
        nodesByZone().forEach(zone -> partitioned.addAll(zone.subList(0, zone.size() - 7)));
        run(Duration.ofSeconds(4));
        assertAllGranted();
    }

    /** Guards against holding turns until their timeout when no node reaches the store VMs. */
    @Test
    public void turnsAreRejectedAtOnceIfNoNodeReachesStores() {
        partitioned.addAll(members.keySet());
        run(Duration.ofSeconds(2));
        time.advance(TURN_TIMEOUT);
        outcomes.clear();
        // Each second turn meets an open circuit breaker, which has just let the first one through as a probe.
        IntStream.range(0, 10).forEach(any -> {
            serving.forEach(this::beginTurn);
            serving.forEach(this::beginTurn);
            time.advance(TURN_INTERVAL);
        });
        long rejectedAtOnce = outcomes.stream()
                .filter(each -> each.endNanos() == each.startNanos())
                .count();
        assertTrue(rejectedAtOnce >= 10L * serving.size(), "rejected at once " + rejectedAtOnce);
        time.advance(TURN_TIMEOUT);
        assertEquals(outcomes.size(), 20 * serving.size());
        partitioned.clear();
        run(Duration.ofSeconds(2));
        outcomes.clear();
        run(Duration.ofSeconds(2));
        assertAllGranted();
    }
}
