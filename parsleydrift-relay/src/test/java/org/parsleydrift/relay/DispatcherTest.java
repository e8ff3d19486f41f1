package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.registry.SharedObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who gets a runner next when there are fewer places than requests. */
public class DispatcherTest {
    private static final int SLOTS = 2;

    private final List<String> placed = new ArrayList<>();
    private Registry registry;
    private Dispatcher dispatcher;
    private long revision;

    private final class Request implements Waiter {
        private final String name;
        private final int priority;
        private final boolean underWay;
        private final Set<String> avoided = new HashSet<>();
        private Runner runner;

        private Request(String name, int priority, boolean underWay) {
            this.name = name;
            this.priority = priority;
            this.underWay = underWay;
        }

        @Override
        public void manifestChanged() {}

        @Override
        public String service() {
            return "s";
        }

        @Override
        public List<PromptPart> prompt() {
            return List.of();
        }

        @Override
        public List<CachedPart> heard() {
            return List.of();
        }

        @Override
        public Set<String> avoided() {
            return avoided;
        }

        @Override
        public boolean anywhere() {
            return false;
        }

        @Override
        public int priority() {
            return priority;
        }

        @Override
        public boolean underWay() {
            return underWay;
        }

        @Override
        public void offered(Candidate chosen) {
            runner = chosen.runner();
            placed.add(name);
        }
    }

    @BeforeMethod
    public void begin() {
        placed.clear();
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

    /** A burst fills the runners; the rest waits here, and programs under way go before new ones. */
    @Test
    public void programsUnderWayGoFirst() {
        runner("r1", false);
        List<Request> first = List.of(new Request("a", 0, false), new Request("b", 0, false));
        first.forEach(dispatcher::submit);
        dispatcher.submit(new Request("new-urgent", 0, false));
        dispatcher.submit(new Request("new", 1, false));
        dispatcher.submit(new Request("going", 1, true));
        assertEquals(placed, List.of("a", "b"));
        dispatcher.finished("r1");
        dispatcher.finished("r1");
        assertEquals(placed, List.of("a", "b", "going", "new-urgent"));
    }

    /** Symptom: two nodes fill one runner twice over. Cause: each sees only its own requests there. */
    @Test
    public void whatPeersHaveAtARunnerCounts() {
        runner("r1", false);
        runner("r2", false);
        dispatcher.updatePeerLoads(Map.of("peer", loadAt("r1", SLOTS)));
        Request request = new Request("a", 0, false);
        dispatcher.submit(request);
        assertEquals(request.runner.id(), "r2");
    }

    /** A runner that leaves gets nothing new; what waits is placed as soon as another comes. */
    @Test
    public void drainingRunnersGetNothing() {
        runner("r1", true);
        dispatcher.submit(new Request("a", 0, false));
        assertTrue(placed.isEmpty());
        runner("r2", false);
        assertEquals(placed, List.of("a"));
    }

    /**
     * Symptom: requests wait while a runner has places, for as long as another one is busy. Events: a peer has filled one
     * runner. Cause: runners are told apart by a hash of their names that both share, and their loads are added.
     */
    @Test
    public void runnersWhoseNamesShareAHashAreToldApart() {
        assertEquals("Aa".hashCode(), "BB".hashCode());
        List.of("Aa", "BB").forEach(id -> runner(id, false));
        dispatcher.updatePeerLoads(Map.of("peer", loadAt("Aa", SLOTS + 1)));
        dispatcher.submit(new Request("one", 1, false));
        assertEquals(placed.size(), 1);
    }

    private static Map<Long, Integer> loadAt(String life, int requests) {
        return Map.of(RunnerKey.of(life), requests);
    }
}
