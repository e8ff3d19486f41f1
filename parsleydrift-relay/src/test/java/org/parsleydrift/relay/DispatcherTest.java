package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
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

    private static Map<Long, Integer> loadAt(String incarnation, int requests) {
        return Map.of(RunnerKey.of(incarnation), requests);
    }
}
