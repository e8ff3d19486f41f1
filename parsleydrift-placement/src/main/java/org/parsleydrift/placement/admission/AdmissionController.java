package org.parsleydrift.placement.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.parsleydrift.placement.ContentionSettings;

/**
 * Decides whether a request may wait for a slot of a contended service or is rejected at once. A request is never
 * rejected while a slot is free to its rank or nothing waits. Not thread-safe; confined to one event loop.
 *
 * <p>A late program of the best rank is worth little to its caller, less than one that is rejected at once and in time
 * on its return; it is rejected if it would be late. A late program of a lower rank keeps most of its worth; it is
 * rejected only if it cannot start before its caller gives up. Requests of programs in progress wait as long as a start
 * before their deadline is predicted, since their rejection wastes what the program has used.
 */
public final class AdmissionController {
    /** Maximum wait of a stream: callers give up after 2 s without an event, and the first event takes some time. */
    static final Duration MAX_STREAM_WAIT = Duration.ofMillis(1600);

    /** Share of the remaining time that a request may wait in any case, also if its learned run time exceeds it. */
    private static final double MIN_WAIT_SHARE = 0.35;
    /** Maximum wait of a new program while no rate is known. */
    private static final Duration MAX_WAIT_WITHOUT_RATE = Duration.ofMillis(900);
    /** Reciprocal of the share of the remaining time up to which callers honour a retry delay. */
    private static final int HONOURED_DIVISOR = 3;
    /** Time for which the largest number of slots is remembered: the longest retry delay and a caller's return. */
    private static final long PEAK_NANOS = Duration.ofSeconds(3).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final ContentionSettings settings;
    private final ReturnSchedule returns;
    private final Map<String, SlotPeak> peaks = new HashMap<>();

    /**
     * Creates a controller.
     *
     * @param settings settings of the deployment
     * @param returns return slots of rejected programs, of this node and its peers
     */
    public AdmissionController(ContentionSettings settings, ReturnSchedule returns) {
        this.settings = settings;
        this.returns = returns;
    }

    /**
     * Decides on a request.
     *
     * @param request the request
     * @param state state of its service
     * @param nowNanos current time, ns
     * @return the decision
     */
    public Admission decide(AdmissionRequest request, ServiceState state, long nowNanos) {
        Outlook outlook = outlook(request, state, nowNanos);
        boolean returned = !capacityLost(request.service(), state.slots(), nowNanos) && request.returned();
        if (hasFreeSlot(request.rank(), state) || state.slotsPerSecond() <= 0 || returned) {
            return enqueue(request, state, outlook);
        }
        if (outlook.predictedNanos() > outlook.longestNanos()) {
            return refuse(request, state, outlook, Admission.Reason.BEYOND_DEADLINE, nowNanos);
        }
        // A program that would be late in any case gains nothing by its return and is served from leftover capacity.
        boolean wouldBeLate = outlook.slackNanos() > 0 && outlook.predictedNanos() > outlook.slackNanos();
        return wouldBeLate && !request.started() && request.rank() <= state.bestRank()
                ? refuse(request, state, outlook, Admission.Reason.LATE_START, nowNanos)
                : enqueue(request, state, outlook);
    }

    /**
     * Rejects a request that has waited for its maximum time, and assigns it a return slot.
     *
     * @param request the request
     * @param state state of its service
     * @param nowNanos current time, ns
     * @return the rejection
     */
    public Admission.Refuse refuseWaited(AdmissionRequest request, ServiceState state, long nowNanos) {
        return refuse(request, state, outlook(request, state, nowNanos), Admission.Reason.WAITED, nowNanos);
    }

    /** Returns whether a slot is free to a rank, or nothing waits so that the next free slot is the request's. */
    private boolean hasFreeSlot(int rank, ServiceState state) {
        double ratio = rank <= state.bestRank() ? Math.max(1, settings.admitShare()) : settings.admitShare();
        return !state.anyWaiting() || state.load() < ratio * state.slots();
    }

    private static Outlook outlook(AdmissionRequest request, ServiceState state, long nowNanos) {
        long left = Math.max(0, request.deadlineNanos() - nowNanos);
        long longest = Math.max(left - request.runNanos(), (long) (MIN_WAIT_SHARE * left));
        long bounded = request.streaming() ? Math.min(longest, MAX_STREAM_WAIT.toNanos()) : longest;
        long slack = request.programDeadlineNanos().isEmpty()
                ? bounded
                : Math.min(bounded, request.programDeadlineNanos().getAsLong() - nowNanos - request.neededNanos());
        return new Outlook(left, bounded, slack, predictedNanos(request, state));
    }

    /**
     * Predicts the wait of a request. New programs compete with the peers' requests of their rank in proportion to
     * their position in the own queue. Requests that precede new programs count only better ranks at the peers, since
     * these do not report how many of their requests are of that kind.
     */
    private static long predictedNanos(AdmissionRequest request, ServiceState state) {
        if (state.slotsPerSecond() <= 0) {
            return 0;
        }
        boolean precedesNew = request.started() || request.returned() || request.teamBelowShare();
        double position = (request.ahead() + 1.0)
                / (Math.max(request.ahead(), ServiceState.sumUpTo(state.ownWaiting(), request.rank())) + 1);
        double peers = ServiceState.sumUpTo(state.peersWaiting(), request.rank() - 1)
                + (precedesNew ? 0 : position * state.peersWaiting().getOrDefault(request.rank(), 0));
        return nanosToServe(request.ahead() + peers, state);
    }

    private Admission enqueue(AdmissionRequest request, ServiceState state, Outlook outlook) {
        long maxWait = request.started()
                ? waitInProgress(outlook)
                : state.slotsPerSecond() > 0 ? outlook.longestNanos() : waitWithoutRate(outlook);
        return new Admission.Enqueue(Duration.ofNanos(maxWait), Duration.ofNanos(outlook.predictedNanos()));
    }

    private long waitInProgress(Outlook outlook) {
        long share = (long) (settings.waitShare() * outlook.leftNanos());
        if (outlook.predictedNanos() > share) {
            return outlook.longestNanos();
        }
        boolean inTime = outlook.predictedNanos() <= outlook.slackNanos();
        return Math.min(outlook.longestNanos(), inTime ? Math.max(share, outlook.slackNanos()) : share);
    }

    private static long waitWithoutRate(Outlook outlook) {
        return Math.min((long) (MIN_WAIT_SHARE * outlook.leftNanos()), MAX_WAIT_WITHOUT_RATE.toNanos());
    }

    private Admission.Refuse refuse(
            AdmissionRequest request, ServiceState state, Outlook outlook, Admission.Reason reason, long nowNanos) {
        boolean rateKnown = state.slotsPerSecond() > 0;
        long maxRetry = (long) (settings.maxRetryAfterSeconds() * NANOS_PER_SECOND);
        long latest = Math.min(maxRetry, outlook.leftNanos() / HONOURED_DIVISOR);
        long earliest = nanosToServe(state.waitingUpTo(request.rank()), state);
        long spacing = rateKnown && state.ownShare() > 0
                ? (long) Math.min((double) maxRetry, NANOS_PER_SECOND / (state.slotsPerSecond() * state.ownShare()))
                : ReturnSchedule.MIN_DELAY.toNanos();
        Duration retryAfter = returns.reserve(
                request.service(),
                request.programKey(),
                Duration.ofNanos(earliest),
                Duration.ofNanos(spacing),
                Duration.ofNanos(latest),
                nowNanos);
        return new Admission.Refuse(
                retryAfter,
                reason,
                Duration.ofNanos(outlook.predictedNanos()),
                Duration.ofNanos(
                        reason == Admission.Reason.LATE_START ? outlook.slackNanos() : outlook.longestNanos()));
    }

    private static long nanosToServe(double requests, ServiceState state) {
        return state.slotsPerSecond() > 0 ? (long) (requests / state.slotsPerSecond() * NANOS_PER_SECOND) : 0;
    }

    /** Returns whether the service has lost slots since a program that returns now can have been rejected. */
    private boolean capacityLost(String service, int slots, long nowNanos) {
        SlotPeak peak = peaks.compute(
                service,
                (same, known) -> known == null || slots >= known.slots() || nowNanos - known.atNanos() > PEAK_NANOS
                        ? new SlotPeak(slots, nowNanos)
                        : known);
        return slots < peak.slots();
    }

    /** Largest number of slots of a service, and when it was seen last. */
    private record SlotPeak(int slots, long atNanos) {}

    /**
     * What a request can expect, all in ns.
     *
     * @param leftNanos time until the caller gives up
     * @param longestNanos longest wait after which the request itself can still be served
     * @param slackNanos longest wait after which the program can still end in time; negative if it cannot
     * @param predictedNanos predicted wait; 0 if no rate is known
     */
    private record Outlook(long leftNanos, long longestNanos, long slackNanos, long predictedNanos) {}
}
