package org.parsleydrift.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.standin.InMemorySharedObjects;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Registry and follower against a store that goes down, forgets its history and drops entries. */
public class RegistryFollowingTest {
    /** A node that hears of no other checks its knowledge at this age. */
    private static final Duration CHECK_AGE = Duration.ofMillis(900);

    private static final Duration AGE_PERIOD = Duration.ofMillis(80);

    private ManualScheduler time;
    private InMemorySharedObjects objects;
    private Registry registry;

    @BeforeMethod
    public void follow() {
        time = new ManualScheduler();
        ManualEventLoop loop = time.newLoop();
        objects = new InMemorySharedObjects(time.newLoop(), Duration.ofMillis(4));
        registry = new Registry(loop, new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                long version = Long.parseLong(new String(content, UTF_8));
                return new RoutingManifest(version, List.of(), List.of(), CallerLimits.defaults());
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                boolean draining = new String(content, UTF_8).equals("draining");
                return new Runner(name, "s", "10.0.0.1:1", "z", 6, draining);
            }
        });
        start(loop, ObjectKind.RUNNERS, registry::applyRunnerChanges);
        start(loop, ObjectKind.MANIFEST, registry::applyManifestChanges);
        runner("r1", "ready");
        time.advance(Duration.ofSeconds(1));
    }

    private boolean usable(String id) {
        return registry.isUsable(new Runner(id, "s", "10.0.0.1:1", "z", 6, false));
    }

    private void start(ManualEventLoop loop, ObjectKind kind, java.util.function.Consumer<List<SharedObject>> news) {
        ObjectWatcher follower = new ObjectWatcher(
                kind,
                objects,
                loop,
                new Random(1),
                Duration.ofSeconds(8),
                new VersionedTable(),
                new ObjectWatcher.Listener() {
                    @Override
                    public void onChanges(List<SharedObject> changed) {
                        news.accept(changed);
                    }

                    @Override
                    public void onReachabilityChanged(boolean reached) {
                        registry.setPlatformReachable(reached);
                    }
                });
        follower.start();
        loop.scheduleWithFixedDelay(AGE_PERIOD, () -> follower.checkIfStale(CHECK_AGE));
    }

    private void runner(String id, String state) {
        objects.write(ObjectKind.RUNNERS, id, state.getBytes(UTF_8));
    }

    private void manifest(long version) {
        objects.write(ObjectKind.MANIFEST, "main", Long.toString(version).getBytes(UTF_8));
    }

    @Test
    public void aDrainIsKnownWithinMilliseconds() {
        assertTrue(usable("r1"));
        runner("r1", "draining");
        time.advance(Duration.ofMillis(50));
        assertFalse(usable("r1"));
        assertEquals(registry.runners("s"), List.of());
    }

    /** Outside outages an entry that is removed belongs to a runner that has left. */
    @Test
    public void aRemovedRunnerGetsNothing() {
        objects.delete(ObjectKind.RUNNERS, "r1");
        time.advance(Duration.ofMillis(50));
        assertFalse(usable("r1"));
    }

    /**
     * Symptom: requests are refused though all runners live. Events: the store is away, entries lapse, and are back a
     * second after its return. Cause: entries dropped at once.
     */
    @Test
    public void entriesThatLapseInAnOutageAreBorneForTwoSeconds() {
        runner("r2", "ready");
        time.advance(Duration.ofSeconds(1));
        objects.down(true);
        time.advance(Duration.ofSeconds(9));
        objects.delete(ObjectKind.RUNNERS, "r1");
        objects.delete(ObjectKind.RUNNERS, "r2");
        objects.down(false);
        time.advance(Duration.ofMillis(1500));
        assertTrue(usable("r1"));
        assertTrue(usable("r2"));
        runner("r2", "ready");
        time.advance(Duration.ofSeconds(2));
        assertFalse(usable("r1"));
        assertTrue(usable("r2"));
    }

    /**
     * Requests reached a runner more than two seconds after its entry had been removed. The platform had been back for
     * less than three seconds, so the removal was taken for a lapse of the outage, and the runner was used for another
     * 1.9 s from the moment at which the node heard of it: {@code runner_lapsed} at 77.31 s, {@code runner_gone} at 79.21
     * s, after an outage that had ended at 74.1 s.
     */
    @Test
    public void aRunnerThatLeavesSoonAfterAnOutageGetsNothing() {
        objects.down(true);
        time.advance(Duration.ofSeconds(9));
        objects.down(false);
        time.advance(Duration.ofMillis(2700));
        objects.delete(ObjectKind.RUNNERS, "r1");
        time.advance(Duration.ofMillis(100));
        assertFalse(usable("r1"));
    }

    /** Symptom: changes are missed for good. Events: the store forgets its history while a watch is away. */
    @Test
    public void aLostHistoryIsMadeUpForByAList() {
        manifest(1);
        time.advance(Duration.ofSeconds(1));
        objects.down(true);
        time.advance(Duration.ofSeconds(9));
        manifest(2);
        runner("r1", "draining");
        objects.forgetHistory();
        objects.down(false);
        time.advance(Duration.ofSeconds(2));
        assertEquals(registry.manifest().orElseThrow().version(), 2);
        assertFalse(usable("r1"));
    }
}
