package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which work is sent to no more runners, by the runners that were lost under it. */
public class RunnerLossTrackerTest {
    private static final WorkKey WORK = new WorkKey(1, 1);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private RunnerLossTracker tracker;

    @BeforeMethod
    public void start() {
        tracker = new RunnerLossTracker();
    }

    private void lose(WorkKey work, long nowNanos, long... runners) {
        LongStream.of(runners).forEach(each -> tracker.record(new RunnerLoss(work, each), nowNanos));
    }

    /** Guards against more runners that end under a request than are allowed. */
    @Test
    public void workIsRejectedOnceThreeRunnersWereLost() {
        lose(WORK, 0, 1, 2, 2, 1);
        assertFalse(tracker.isRejected(WORK, 0));
        lose(WORK, 0, 3);
        assertTrue(tracker.isRejected(WORK, 0));
        assertFalse(tracker.isRejected(new WorkKey(1, 2), 0));
    }

    /** Guards against the rejection of a request whose runners only broke off their responses. */
    @Test
    public void runnerThatAnswersLaterIsNotLost() {
        lose(WORK, 10, 1, 2, 3);
        tracker.recordAnswer(2, 10);
        assertTrue(tracker.isRejected(WORK, 20), "the connection was established before the loss");
        tracker.recordAnswer(2, 11);
        assertFalse(tracker.isRejected(WORK, 20));
        assertEquals(tracker.lostRunners(WORK), 2);
    }

    /** Guards against a runner that falls silent as it ends, which no lost connection shows. */
    @Test
    public void silentRunnerIsLostOnceItIsUnreachable() {
        tracker.recordSilence(new RunnerLoss(WORK, 1), 0);
        tracker.recordSilence(new RunnerLoss(WORK, 2), 0);
        tracker.recordAnswer(2, 1);
        assertEquals(tracker.recordUnreachable(1, SECOND), List.of(new RunnerLoss(WORK, 1)));
        assertEquals(tracker.recordUnreachable(2, SECOND), List.of());
        tracker.recordSilence(new RunnerLoss(WORK, 3), 0);
        assertEquals(tracker.recordUnreachable(3, 6 * SECOND), List.of());
    }

    /** Guards against rejections of requests at which runners are only slow, so that they are cancelled while silent. */
    @Test
    public void anyAnswerShowsThatASilentRunnerHasNotEnded() {
        LongStream.of(1, 2, 3).forEach(each -> tracker.record(new RunnerLoss(WORK, each), LossEvidence.SILENCE, 10));
        assertTrue(tracker.isRejected(WORK, 10));
        assertEquals(tracker.recordAnswer(1, 0), List.of(new RunnerLoss(WORK, 1)));
        assertEquals(tracker.withdrawSilence(2, 20), List.of(new RunnerLoss(WORK, 2)));
        assertEquals(tracker.lostRunners(WORK), 1);
        assertEquals(tracker.recordUnreachable(2, 30), List.of(new RunnerLoss(WORK, 2)));
    }

    /** Guards against losses that are taken back by connections that outlive the runner's listener. */
    @Test
    public void confirmedLossIsTakenBackByALaterConnectionOnly() {
        tracker.record(new RunnerLoss(WORK, 1), LossEvidence.SILENCE, 10);
        assertEquals(tracker.unconfirmedRunners(WORK), List.of(1L));
        assertEquals(tracker.recordUnreachable(1, 20), List.of());
        assertEquals(tracker.unconfirmedRunners(WORK), List.of());
        assertEquals(tracker.recordAnswer(1, 15), List.of());
        assertEquals(tracker.recordAnswer(1, 21), List.of(new RunnerLoss(WORK, 1)));
        assertTrue(tracker.isEmpty());
    }

    /** Guards against rejections that outlive the attempts of the caller, or end while it still asks. */
    @Test
    public void workIsForgottenOnceNobodyAsksForIt() {
        lose(WORK, 0, 1, 2, 3);
        assertTrue(tracker.isRejected(WORK, 50 * SECOND));
        assertTrue(tracker.isRejected(WORK, 100 * SECOND));
        assertFalse(tracker.isRejected(WORK, 161 * SECOND));
        assertTrue(tracker.isEmpty());
    }

    /** Guards against memory that grows with the number of requests under which runners end. */
    @Test
    public void memoryIsBounded() {
        LongStream.range(0, 3L * RunnerLossTracker.MAX_WORKS).forEach(each -> {
            lose(new WorkKey(2, each), each, each, each + 1, each + 2);
            tracker.recordSilence(new RunnerLoss(new WorkKey(2, each), each), each);
        });
        assertEquals(tracker.rejectedWorks(), RunnerLossTracker.MAX_WORKS);
        assertEquals(tracker.latest(Integer.MAX_VALUE).size(), 3 * RunnerLossTracker.MAX_WORKS);
        LongStream.range(0, 4L * RunnerLossTracker.MAX_WORKS)
                .forEach(each -> tracker.recordAnswer(each, Long.MAX_VALUE));
        assertTrue(tracker.isEmpty());
        assertEquals(tracker.rejectedWorks(), 0);
    }
}
