package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.registry.SharedObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Order in which queued requests are assigned to runners. */
public class DispatcherTest {
    private static final int SLOTS = 2;

    private final List<String> assigned = new ArrayList<>();
    private Registry registry;
    private Dispatcher dispatcher;
    private long revision;

    private QueuedRequestFixture request(String name, int priority, boolean inProgress) {
        return new QueuedRequestFixture(name, priority, inProgress, assigned);
    }

    @BeforeMethod
    public void begin() {
        assigned.clear();
        ManualScheduler time = new ManualScheduler();
        registry = new Registry(time.newLoop(), new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                throw new UnsupportedOperationException();
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                return new Runner(name, "s", "10.0.0.1:1", "z", SLOTS, content.length > 0);
            }
        });
        dispatcher = new Dispatcher(registry, new Random(1), "z", time::nanos);
        registry.onChange(dispatcher::runnersChanged);
    }

    private void runner(String id, boolean draining) {
        byte[] content = draining ? "d".getBytes(UTF_8) : new byte[0];
        registry.applyRunnerChanges(List.of(new SharedObject(id, ++revision, false, content)));
    }

    /** Queued requests of programs in progress precede those of new programs, whatever their priority. */
    @Test
    public void programsInProgressPrecedeNewOnes() {
        runner("r1", false);
        List<QueuedRequestFixture> first = List.of(request("a", 0, false), request("b", 0, false));
        first.forEach(dispatcher::submit);
        dispatcher.submit(request("new-urgent", 0, false));
        dispatcher.submit(request("new", 1, false));
        dispatcher.submit(request("going", 1, true));
        assertEquals(assigned, List.of("a", "b"));
        dispatcher.releaseSlot("r1");
        dispatcher.releaseSlot("r1");
        assertEquals(assigned, List.of("a", "b", "going", "new-urgent"));
    }

    /** The load reported by peers counts, so that two nodes do not overload one runner. */
    @Test
    public void peerLoadCounts() {
        runner("r1", false);
        runner("r2", false);
        dispatcher.updatePeerLoads(Map.of("peer", loadAt("r1", SLOTS)));
        QueuedRequestFixture request = request("a", 0, false);
        dispatcher.submit(request);
        assertEquals(request.runner().id(), "r2");
    }

    /** A draining runner receives no requests; queued ones are assigned as soon as another runner appears. */
    @Test
    public void drainingRunnerReceivesNoRequests() {
        runner("r1", true);
        dispatcher.submit(request("a", 0, false));
        assertTrue(assigned.isEmpty());
        runner("r2", false);
        assertEquals(assigned, List.of("a"));
    }

    /** The peer loads of runners whose ids have the same {@code hashCode} must not be added. */
    @Test
    public void runnersWithEqualHashCodesAreDistinguished() {
        assertEquals("Aa".hashCode(), "BB".hashCode());
        List.of("Aa", "BB").forEach(id -> runner(id, false));
        dispatcher.updatePeerLoads(Map.of("peer", loadAt("Aa", SLOTS + 1)));
        dispatcher.submit(request("one", 1, false));
        assertEquals(assigned.size(), 1);
    }

    /** A request that is withdrawn while its slot is asked for must free that slot, and must not be sent. */
    @Test
    public void withdrawnWhileAskingForASlot() {
        ManualGate gate = new ManualGate();
        use(new Dispatcher(registry, new Random(1), "z", () -> 0, gate));
        runner("r1", false);
        QueuedRequestFixture request = request("a", 0, false);
        dispatcher.submit(request);
        assertEquals(dispatcher.ownLoad(), Map.of("r1", 1));
        assertTrue(dispatcher.withdraw(request));
        assertEquals(gate.withdrawals, 1);
        assertEquals(dispatcher.ownLoad(), Map.of());
        assertTrue(assigned.isEmpty());
    }

    /** A rejected request must keep its position, and its slot must be released exactly once. */
    @Test
    public void rejectedRequestKeepsItsPosition() {
        ManualGate gate = new ManualGate();
        use(new Dispatcher(registry, new Random(1), "z", () -> 0, gate));
        runner("r1", false);
        List<QueuedRequestFixture> requests = List.of(request("a", 0, false), request("b", 0, false));
        dispatcher.submit(requests.getFirst());
        gate.answer(new SlotGate.Rejected(SLOTS));
        dispatcher.submit(requests.getLast());
        assertEquals(dispatcher.queueLength(), 2);
        assertTrue(gate.listeners.isEmpty());
        dispatcher.updatePeerLoads(Map.of());
        runner("r2", false);
        gate.answer(new SlotGate.Granted(1, () -> gate.releases++));
        gate.answer(new SlotGate.Granted(2, () -> gate.releases++));
        assertEquals(assigned, List.of("a", "b"));
        dispatcher.releaseSlot(requests.getFirst(), "r2");
        assertEquals(gate.releases, 1);
        assertEquals(dispatcher.ownLoad(), Map.of("r2", 1));
    }

    private void use(Dispatcher other) {
        dispatcher = other;
        registry.onChange(other::runnersChanged);
    }

    private static final class ManualGate implements SlotGate {
        private final Deque<Consumer<Answer>> listeners = new ArrayDeque<>();
        private int withdrawals;
        private int releases;

        private void answer(Answer answer) {
            listeners.remove().accept(answer);
        }

        @Override
        public boolean isControlled(String service) {
            return true;
        }

        @Override
        public Cancellable request(Runner runner, int rank, Duration time, Consumer<Answer> listener) {
            listeners.add(listener);
            return () -> withdrawals++;
        }

        @Override
        public void schedule(Duration delay, Runnable task) {}
    }

    private static Map<Long, Integer> loadAt(String incarnation, int requests) {
        return Map.of(RunnerKey.of(incarnation), requests);
    }
}
