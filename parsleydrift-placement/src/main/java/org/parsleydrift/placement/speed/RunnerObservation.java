package org.parsleydrift.placement.speed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.parsleydrift.registry.Runner;

/** The times of one request at a runner, from sending it to the end of its response. */
public final class RunnerObservation {
    private static final double NANOS_PER_MILLI = 1_000_000;
    /** Times between events that are kept per response, to bound its memory; their median changes little after that. */
    private static final int MAX_GAPS = 64;
    /** Slots per known request from which on a free slot is certain. */
    private static final int MIN_SLOTS_PER_LOAD = 2;

    private final RunnerSpeeds speeds;
    private final Runner runner;
    private final boolean streaming;
    private final int uncachedTokens;
    private final int load;
    private final long sentNanos;
    private long firstEventNanos;
    private long lastProgressNanos;
    private final List<Double> gapMillis = new ArrayList<>();
    private int events;
    private boolean ended;

    RunnerObservation(
            RunnerSpeeds speeds, Runner runner, boolean streaming, int uncachedTokens, int load, long sentNanos) {
        this.speeds = speeds;
        this.runner = runner;
        this.streaming = streaming;
        this.uncachedTokens = uncachedTokens;
        this.load = load;
        this.sentNanos = sentNanos;
        this.lastProgressNanos = sentNanos;
    }

    /**
     * Records the events received so far.
     *
     * @param count number of complete events of the response
     * @param nowNanos monotonic time, ns
     */
    public void recordEvents(int count, long nowNanos) {
        if (count > events) {
            if (events == 0) {
                firstEventNanos = nowNanos;
            } else if (gapMillis.size() < MAX_GAPS) {
                // Events that arrive together share the time since the one before them.
                int together = count - events;
                gapMillis.addAll(Collections.nCopies(Math.min(together, MAX_GAPS), silenceMillis(nowNanos) / together));
            }
            lastProgressNanos = nowNanos;
            events = count;
        }
    }

    /**
     * Ends the observation with a complete successful response.
     *
     * @param nowNanos monotonic time, ns
     */
    public void complete(long nowNanos) {
        if (end()) {
            speeds.recordComplete(this, nowNanos);
        }
    }

    /**
     * Ends the observation with a response that failed or was cancelled. It may have taken too long, but a failure is no
     * evidence of a fast runner.
     *
     * @param nowNanos monotonic time, ns
     */
    public void fail(long nowNanos) {
        if (end()) {
            speeds.recordFailure(this, nowNanos);
        }
    }

    /** Ends the observation of a request that the runner has not run. */
    public void discard() {
        end();
    }

    private boolean end() {
        boolean first = !ended;
        ended = true;
        speeds.close(this);
        return first;
    }

    Runner runner() {
        return runner;
    }

    boolean streaming() {
        return streaming;
    }

    int uncachedTokens() {
        return uncachedTokens;
    }

    int load() {
        return load;
    }

    int events() {
        return events;
    }

    /**
     * Returns whether the request certainly found a free slot; otherwise its first event may also have waited for one.
     * Since loads are known late, a runner that seems nearly full may be full.
     */
    boolean foundFreeSlot() {
        return load * MIN_SLOTS_PER_LOAD < runner.slots();
    }

    double millisToFirstEvent() {
        return (firstEventNanos - sentNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time from the first event to the last, ms. */
    double generationMillis() {
        return (lastProgressNanos - firstEventNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the median time between events, ms; 0 with fewer than two. An engine delays single events while it computes
     * prompts of other requests, which the median mostly excludes.
     */
    double medianGapMillis() {
        return gapMillis.isEmpty()
                ? 0
                : gapMillis.stream()
                        .sorted()
                        .skip((gapMillis.size() - 1) / 2)
                        .findFirst()
                        .orElseThrow();
    }

    /** Returns the time since the last event, or since the request was sent, ns. */
    long silenceNanos(long nowNanos) {
        return nowNanos - lastProgressNanos;
    }

    double silenceMillis(long nowNanos) {
        return silenceNanos(nowNanos) / NANOS_PER_MILLI;
    }
}
