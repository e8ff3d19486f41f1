package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.lease.LeaseLimit;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.relay.SlotGate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Failures while slots are leased between nodes; frames take 1 ms. */
public class SlotLeaseExchangeTest {
    private static final Runner RUNNER = new Runner("r", "s", "10.0.0.1:1", "x", 1, false);
    /** One slot, and one request to refill it. */
    private static final int LIMIT = 2;

    private final Map<String, Member> members = new TreeMap<>();
    private ManualScheduler time;
    private Predicate<byte[]> lost;

    private final class Member implements SlotLeaseExchange.Fleet, FrameSender {
        private final ManualEventLoop loop = time.newLoop();
        private final NodeIdentity identity;
        private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
        private final SlotLeaseExchange exchange;
        private final List<SlotGate.Answer> answers = new ArrayList<>();
        private List<String> live;

        private Member(String name, String zone, List<String> live) {
            this.identity = new NodeIdentity(name, zone, name + ":80", name);
            this.live = live;
            exchange = new SlotLeaseExchange(loop, this, identity, 5, this, LeaseLimit.USUAL, meters);
            exchange.start();
        }

        private Cancellable request() {
            return exchange.request(RUNNER, 0, Duration.ofSeconds(3), answers::add);
        }

        private void release(int index) {
            ((SlotGate.Granted) answers.get(index)).lease().cancel();
        }

        private double held() {
            return meters.get("parsleydrift.slot.leases.held").gauge().value();
        }

        private double timedOut() {
            return meters.get("parsleydrift.slot.leases")
                    .tag("outcome", "timed_out")
                    .counter()
                    .count();
        }

        @Override
        public boolean isControlled(String service) {
            return true;
        }

        @Override
        public List<NodeIdentity> readyNodes() {
            return live.stream().map(each -> members.get(each).identity).toList();
        }

        @Override
        public List<Runner> runners() {
            return List.of(RUNNER);
        }

        @Override
        public int reportedLoad(String incarnation) {
            return 0;
        }

        @Override
        public void send(String address, byte[] frame) {
            Member to = members.get(address);
            if (!lost.test(frame)) {
                to.loop.schedule(Duration.ofMillis(1), () -> to.exchange.receive(frame));
            }
        }

        @Override
        public void reset(String address) {}
    }

    @BeforeMethod
    public void begin() {
        members.clear();
        time = new ManualScheduler();
        lost = frame -> false;
        List<String> live = List.of("c", "n1", "n2");
        members.put("c", new Member("c", "x", live));
        members.put("n1", new Member("n1", "y", live));
        members.put("n2", new Member("n2", "y", live));
    }

    private Member member(String name) {
        return members.get(name);
    }

    private void advance(int millis) {
        time.advance(Duration.ofMillis(millis));
    }

    /** Nodes must share the slots of a runner exactly, and a withdrawn or ended request must free its slot once. */
    @Test
    public void slotsAreSharedAndReleasedOnce() {
        member("n1").request();
        Cancellable withdrawn = member("n1").request();
        withdrawn.cancel();
        advance(20);
        member("n2").request();
        advance(20);
        assertEquals(member("n1").answers.size(), 1);
        assertEquals(member("c").held(), (double) LIMIT);
        member("n2").request();
        member("c").request();
        advance(20);
        assertEquals(member("n2").answers.get(1), new SlotGate.Rejected(LIMIT));
        assertEquals(member("c").answers, List.of(new SlotGate.Rejected(LIMIT)));
        member("n1").release(0);
        member("n1").release(0);
        advance(20);
        assertEquals(member("c").held(), 1.0);
    }

    /** A dead or paused coordinator must not stop any request, and must not delay each one. */
    @Test
    public void unansweredRequestsProceed() {
        member("c").loop.pause();
        member("n1").request();
        advance(24);
        assertTrue(member("n1").answers.isEmpty());
        advance(2);
        assertEquals(member("n1").answers.size(), 1);
        member("n1").request();
        assertEquals(member("n1").answers.size(), 2);
        assertEquals(member("n1").timedOut(), 1.0);
        member("c").loop.resume();
        advance(500);
        assertEquals(member("c").held(), 1.0);
        member("n1").release(0);
        member("n1").request();
        advance(20);
        assertEquals(member("c").held(), 1.0);
        assertEquals(member("n1").answers.size(), 3);
    }

    /** Lost answers and releases must not hold slots for longer than the lease time. */
    @Test
    public void lostFramesEndWithTheLeaseTime() {
        lost = frame -> frame[0] != LeaseFrame.ACQUIRE;
        member("n1").request();
        advance(30);
        assertEquals(member("c").held(), 1.0);
        member("n1").release(0);
        advance(3100);
        assertEquals(member("c").held(), 0.0);
    }

    /** The leases of a node that the mesh drops must end at once. */
    @Test
    public void leasesOfDroppedNodesEnd() {
        member("n1").request();
        advance(150);
        assertEquals(member("c").held(), 1.0);
        member("c").live = List.of("c", "n2");
        advance(110);
        assertEquals(member("c").held(), 0.0);
    }

    /** Nodes that disagree on the live nodes use two coordinators; each must stay within the limit, none may stop. */
    @Test
    public void twoCoordinatorsStayWithinTheirLimits() {
        member("n2").live = List.of("n2");
        for (int i = 0; i < LIMIT + 1; i++) {
            member("n1").request();
            member("n2").request();
        }
        advance(20);
        assertEquals(member("c").held(), (double) LIMIT);
        assertEquals(member("n2").held(), (double) LIMIT);
        assertEquals(member("n1").answers.size(), LIMIT + 1);
        assertEquals(member("n2").answers.size(), LIMIT + 1);
    }

    /** A malformed frame must be dropped without an exception, which would close the connection. */
    @Test
    public void malformedFramesAreDropped() {
        assertTrue(member("c").exchange.receive(new byte[] {LeaseFrame.ACQUIRE, 1, 2}));
        byte[] negativeRank = new LeaseFrame.Acquire("n1", "n1", 5, 1, 1, -1, 100).encode();
        assertTrue(member("c").exchange.receive(negativeRank));
        assertEquals(member("c").held(), 0.0);
        assertFalse(member("c").exchange.receive(new byte[] {14}));
    }
}
