package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.registry.CallKind;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The decisions on contended services, attached to the queue of one node with one runner of two slots. */
public class ContentionControlTest {
    private static final ContentionSettings WITH_RESERVATION = new ContentionSettings(0.05, 0.95, 0.1, 0.6, 1, false);
    private static final int SLOTS = 2;
    private static final int LEFT_MILLIS = 3000;
    private static final int TURN_MILLIS = 100;

    private final List<String> assigned = new ArrayList<>();
    private ManualScheduler time;
    private Registry registry;
    private Dispatcher dispatcher;
    private SimpleMeterRegistry meters;
    private ContentionControl control;

    @BeforeMethod
    public void begin() {
        assigned.clear();
        time = new ManualScheduler();
        registry = new Registry(time.newLoop(), new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                return manifest(content.length > 0);
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                return new Runner(name, "s", "10.0.0.1:1", "z", SLOTS, false);
            }
        });
        dispatcher = new Dispatcher(registry, new Random(1), "z", time::nanos);
        meters = new SimpleMeterRegistry();
        control = new ContentionControl(
                WITH_RESERVATION, registry, dispatcher, time::nanos, new ContentionReports(meters));
        dispatcher.usePolicy(control, control);
        registry.applyRunnerChanges(List.of(new SharedObject("r1", 1, false, new byte[0])));
        publish(true);
    }

    private void publish(boolean stateful) {
        byte[] content = new byte[stateful ? 1 : 0];
        registry.applyManifestChanges(List.of(new SharedObject("main", 1, false, content)));
    }

    /** A manifest with an urgent and a less urgent streaming route, of which the second may not be stateful. */
    private static RoutingManifest manifest(boolean stateful) {
        return new RoutingManifest(
                1,
                List.of(route("/urgent/", 0, true), route("/other/", 2, stateful)),
                List.of(),
                CallerLimits.defaults());
    }

    private static Route route(String prefix, int priority, boolean stateful) {
        return new Route(
                prefix,
                "h",
                prefix,
                CallKind.STREAMING,
                Duration.ofMillis(LEFT_MILLIS),
                Duration.ZERO,
                1,
                priority,
                false,
                stateful,
                Duration.ofSeconds(60),
                false,
                List.of(new Destination("s", 1)));
    }

    private QueuedRequestFixture request(String name, int rank, boolean started, long programLeftMillis) {
        return request(name, rank, started, programLeftMillis, false);
    }

    private QueuedRequestFixture request(
            String name, int rank, boolean started, long programLeftMillis, boolean mayHaveRun) {
        return new QueuedRequestFixture(name, rank, started, assigned)
                .with(new RequestFacts(
                        name,
                        "",
                        name,
                        "route-" + rank,
                        "",
                        true,
                        OptionalLong.of(nanosIn(programLeftMillis)),
                        nanosIn(LEFT_MILLIS),
                        mayHaveRun ? 1 : 0,
                        mayHaveRun));
    }

    private long nanosIn(long millis) {
        return time.nanos() + Duration.ofMillis(millis).toNanos();
    }

    private void complete(QueuedRequest request) {
        dispatcher.reportAttemptEnd(request, AttemptEnd.COMPLETE);
        dispatcher.releaseSlot("r1");
    }

    /** Runs turns one after another, so that the rate of completions is known, and leaves a backlog. */
    private void runThenQueue(int waiting) {
        IntStream.range(0, 20).forEach(each -> {
            QueuedRequest turn = request("turn" + each, 0, false, LEFT_MILLIS);
            dispatcher.submit(turn);
            time.advance(Duration.ofMillis(TURN_MILLIS));
            complete(turn);
        });
        IntStream.range(0, SLOTS + waiting)
                .forEach(each -> dispatcher.submit(request("waiting" + each, 0, false, 2 * TURN_MILLIS)));
        assertEquals(dispatcher.queueLength(), waiting);
    }

    private Duration defaultWait() {
        return new DefaultWait(AdmissionPolicy.DEFAULT.decide(request("any", 0, false, 1), LEFT_MILLIS)).time();
    }

    private record DefaultWait(AdmissionDecision decision) {
        private Duration time() {
            return ((AdmissionDecision.Wait) decision).maxWait();
        }
    }

    /** A deployment whose streams are not all stateful must be served as before: order, slots and waits. */
    @Test
    public void statelessStreamSwitchesControlOff() {
        publish(false);
        runThenQueue(SLOTS);
        Stream.of(request("new-urgent", 0, false, 1), request("going", 2, true, 1))
                .forEach(dispatcher::submit);
        assertEquals(
                control.decide(request("new", 2, false, 1), LEFT_MILLIS),
                new AdmissionDecision.Wait(defaultWait(), AdmissionPolicy.defaultCacheWait(defaultWait())));
        assertEquals(control.retryDelayAfterWait(request("new", 2, false, 1)), Optional.empty());
        assertEquals(control.slotLimit(request("new", 2, false, 1)).highestLoad(SLOTS, SLOTS + 1), SLOTS + 1);
        assertEquals(control.ownWaiting(), Map.of());
        assigned.clear();
        dispatcher.releaseSlot("r1");
        assertEquals(assigned, List.of("going"));
    }

    /** An urgent program's first turn must not wait behind the sub-agents of less urgent programs. */
    @Test
    public void urgentFirstTurnPrecedesLessUrgentTurns() {
        runThenQueue(0);
        Stream.of(request("going", 2, true, LEFT_MILLIS), request("urgent", 0, false, LEFT_MILLIS))
                .forEach(dispatcher::submit);
        assigned.clear();
        dispatcher.releaseSlot("r1");
        assertEquals(assigned, List.of("urgent"));
        assertEquals(control.ownWaiting(), Map.of("s", Map.of(2, 1)));
    }

    /** While urgent requests wait at other nodes, less urgent ones must leave them a slot of each runner. */
    @Test
    public void slotIsReservedForUrgentBacklogOfPeers() {
        control.usePeersWaiting(service -> Map.of(0, 3));
        Stream.of(request("first", 2, false, LEFT_MILLIS), request("second", 2, true, LEFT_MILLIS))
                .forEach(dispatcher::submit);
        assertEquals(assigned, List.of("first"));
        dispatcher.submit(request("urgent", 0, false, LEFT_MILLIS));
        assertEquals(assigned, List.of("first", "urgent"));
    }

    /** A program that cannot start in time must be rejected at once, with a retry delay that its caller honours. */
    @Test
    public void hopelessProgramIsRejectedAtOnce() {
        runThenQueue(10);
        AdmissionDecision decision = control.decide(request("new", 0, false, 3 * TURN_MILLIS), LEFT_MILLIS);
        assertTrue(decision instanceof AdmissionDecision.Refuse, decision.toString());
        Duration delay = ((AdmissionDecision.Refuse) decision).retryDelay();
        assertTrue(delay.compareTo(Duration.ofMillis(LEFT_MILLIS / 3)) <= 0 && delay.isPositive(), delay.toString());
        assertEquals(meters.get("parsleydrift.admission.refused").counter().count(), 1.0);
    }

    /** A request that may have run must not be rejected early, since its rejection could not say "not run". */
    @Test
    public void possibleRunIsNotRejectedEarly() {
        runThenQueue(10);
        QueuedRequest request = request("new", 0, false, 3 * TURN_MILLIS, true);
        assertEquals(
                control.decide(request, LEFT_MILLIS),
                new AdmissionDecision.Wait(defaultWait(), AdmissionPolicy.defaultCacheWait(defaultWait())));
        assertEquals(control.retryDelayAfterWait(request), Optional.empty());
    }
}
