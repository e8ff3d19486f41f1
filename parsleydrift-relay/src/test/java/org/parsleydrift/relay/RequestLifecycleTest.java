package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.conversation.TurnLineage;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.registry.Runner;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decisions of the state machine of a request, without any I/O. */
public class RequestLifecycleTest {
    private static final List<Runner> RUNNERS = Stream.of("r1", "r2")
            .map(id -> new Runner(id, "s", "10.0.0.1:1", "z", 1, false))
            .toList();
    private static final List<RequestEvent> TO_QUEUE = List.of(
            new RequestEvent.MatchingBegun(),
            new RequestEvent.Matched(false, Optional.empty()),
            new RequestEvent.QuotaDecided(QuotaDecision.UNLIMITED),
            new RequestEvent.Admitted());
    private static final RequestEvent LOST_AT_R1 = new RequestEvent.AttemptUnknown("r1", "reset", true);

    private static RequestLifecycle after(List<RequestEvent> events) {
        RequestLifecycle lifecycle = new RequestLifecycle();
        events.forEach(lifecycle::apply);
        return lifecycle;
    }

    private static RequestLifecycle queued(RequestEvent... further) {
        return after(Stream.concat(TO_QUEUE.stream(), Stream.of(further)).toList());
    }

    @DataProvider
    public Object[][] endings() {
        return new Object[][] {
            {new RequestEvent.QueueTimedOut(Optional.empty()), 502},
            {new RequestEvent.DeadlinePassed(false), 504},
            {new RequestEvent.KeyRevoked(true), 502},
            {new RequestEvent.KeyRevoked(false), 502},
            {new RequestEvent.AdmissionRefused("full", Duration.ofMillis(200)), 502},
            {new RequestEvent.StreamUnservable("no runner of its version"), 502},
        };
    }

    /** A request that may have run must not be reported as "not run", however its second wait in the queue ends. */
    @Test(dataProvider = "endings")
    public void possibleRunIsNeverReportedAsNotRun(RequestEvent ending, int status) {
        RequestLifecycle lifecycle = queued(new RequestEvent.Assigned(), LOST_AT_R1, new RequestEvent.Admitted());
        List<RequestAction> actions = lifecycle.apply(ending);
        assertTrue(actions.contains(new RequestAction.Respond(status)), actions.toString());
        assertEquals(lifecycle.stage(), RequestStage.ENDED);
    }

    private static RequestLifecycle acquiringQuota() {
        return after(List.of(new RequestEvent.MatchingBegun(), new RequestEvent.Matched(false, Optional.empty())));
    }

    /** Events that end a request which waits for the decision on its team's quota. */
    @DataProvider
    public Object[][] endingsWithoutQuota() {
        return new Object[][] {
            {new RequestEvent.DeadlinePassed(false)},
            {new RequestEvent.ProcessEnding()},
            {new RequestEvent.CallerLeft()},
        };
    }

    /** Guards against a charge that stays, as it is granted after its request has ended, and against a late send. */
    @Test(dataProvider = "endingsWithoutQuota")
    public void chargeGrantedAfterTheEndIsRefunded(RequestEvent ending) {
        RequestLifecycle lifecycle = acquiringQuota();
        lifecycle.apply(ending);
        assertEquals(lifecycle.stage(), RequestStage.ENDED);
        assertEquals(
                lifecycle.apply(new RequestEvent.QuotaDecided(new QuotaDecision.Allowed(Optional.empty()))),
                List.of(new RequestAction.RefundQuota()));
        assertEquals(lifecycle.stage(), RequestStage.ENDED);
    }

    /** Guards against a reservation that is released as "not run", though an attempt before the wait may have run. */
    @Test
    public void possibleRunKeepsItsReservationIfTheCallerLeaves() {
        RequestLifecycle lifecycle = queued(new RequestEvent.Assigned(), LOST_AT_R1, new RequestEvent.Admitted());
        assertEquals(
                lifecycle.apply(new RequestEvent.CallerLeft()),
                List.of(
                        new RequestAction.Withdraw(),
                        new RequestAction.RefundQuota(),
                        new RequestAction.End("caller_left", "after_offer")));
        assertEquals(
                queued().apply(new RequestEvent.CallerLeft()),
                List.of(
                        new RequestAction.Withdraw(),
                        new RequestAction.ReleaseReservation(),
                        new RequestAction.RefundQuota(),
                        new RequestAction.End("caller_left", "before_offer")));
    }

    /** "Not executed" by a second runner must not hide that the first one may have run the request. */
    @Test
    public void notRunAtSecondRunnerDoesNotHideTheFirst() {
        RequestLifecycle lifecycle = queued(
                new RequestEvent.Assigned(), LOST_AT_R1, new RequestEvent.Admitted(), new RequestEvent.Assigned());
        List<RequestAction> actions = lifecycle.apply(new RequestEvent.AttemptNotRun("r2", "full", RUNNERS));
        assertTrue(actions.contains(new RequestAction.Respond(502)), actions.toString());
    }

    /** A stream of whose version no runner is left leaves the queue and is reported as not run. */
    @Test
    public void unservableStreamIsWithdrawnAndRefused() {
        List<RequestAction> actions = queued().apply(new RequestEvent.StreamUnservable("no runner of its version"));
        assertEquals(actions.getFirst(), new RequestAction.Withdraw());
        assertTrue(
                actions.contains(new RequestAction.RespondRetryLater(503, RelayLimits.RETRY_DELAY_RESUMPTION, true)),
                actions.toString());
        assertTrue(actions.contains(new RequestAction.ReleaseReservation()), actions.toString());
    }

    /** A rejection by the admission policy gives back what the request holds and states its delay without jitter. */
    @Test
    public void refusedAdmissionReleasesAll() {
        Duration delay = Duration.ofMillis(200);
        RequestLifecycle lifecycle = after(TO_QUEUE.subList(0, 3));
        assertEquals(
                lifecycle.apply(new RequestEvent.AdmissionRefused("full", delay)),
                List.of(
                        new RequestAction.RespondRetryLater(503, delay, false),
                        new RequestAction.ReleaseReservation(),
                        new RequestAction.RefundQuota(),
                        new RequestAction.End(RequestLifecycle.REFUSED, "full")));
    }

    /** A runner that did not run the request is not tried again; the request is queued for another. */
    @Test
    public void notRunIsQueuedForAnotherRunner() {
        RequestLifecycle lifecycle = queued(new RequestEvent.Assigned());
        assertEquals(
                lifecycle.apply(new RequestEvent.AttemptNotRun("r1", "full", RUNNERS)),
                List.of(new RequestAction.ReportAttemptEnd(AttemptEnd.NOT_RUN), new RequestAction.Queue()));
        assertTrue(lifecycle.attempts().excludedRunners().contains("r1"));
    }

    /** A turn that the store VMs grant after its request has ended must give its reservation back. */
    @Test
    public void lateGrantIsReleased() {
        RequestLifecycle lifecycle = after(List.of(
                new RequestEvent.MatchingBegun(),
                new RequestEvent.Matched(true, Optional.empty()),
                new RequestEvent.CallerLeft()));
        BeginResult granted = new BeginResult.Granted(
                List.of(), List.of(), Optional.empty(), new TurnLineage("", Optional.empty()), List.of(), () -> {});
        assertEquals(
                lifecycle.apply(new RequestEvent.TurnBegun(granted)), List.of(new RequestAction.ReleaseReservation()));
    }

    /** A turn that is being committed is completed even if its caller leaves. */
    @Test
    public void commitOutlivesCaller() {
        RequestLifecycle lifecycle = queued(new RequestEvent.Assigned(), new RequestEvent.StreamCompleted());
        assertEquals(lifecycle.apply(new RequestEvent.CallerLeft()), List.of());
        assertEquals(lifecycle.stage(), RequestStage.COMMITTING);
    }

    /** Timers that fire after the end must not send a second response. */
    @Test
    public void endedRequestIgnoresTimers() {
        RequestLifecycle lifecycle = queued(new RequestEvent.Assigned(), new RequestEvent.ResponseForwarded(200));
        Stream.of(
                        new RequestEvent.QueueTimedOut(Optional.empty()),
                        new RequestEvent.DeadlinePassed(false),
                        new RequestEvent.PreparationTimedOut("no manifest"),
                        new RequestEvent.CallerLeft())
                .forEach(each -> assertEquals(lifecycle.apply(each), List.of()));
    }
}
