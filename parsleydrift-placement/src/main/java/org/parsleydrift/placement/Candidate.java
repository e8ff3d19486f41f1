package org.parsleydrift.placement;

import org.parsleydrift.registry.Runner;

/**
 * A runner with the state that the placement of one request depends on.
 *
 * @param runner the runner
 * @param load requests of this node and, by their last reports, of its peers at the runner
 * @param suspended whether the runner is in backoff after failures
 * @param sameZone whether the runner is in this node's availability zone
 * @param uncachedTokens tokens of the request's prompt that the runner has not cached; 0 without a prompt
 * @param timeFactor ratio of the runner's times to those of a typical runner of its service; 1.0 if unknown
 */
public record Candidate(
        Runner runner, int load, boolean suspended, boolean sameZone, int uncachedTokens, double timeFactor) {
    /**
     * Creates a candidate of typical speed.
     *
     * @param runner the runner
     * @param load requests of this node and, by their last reports, of its peers at the runner
     * @param suspended whether the runner is in backoff after failures
     * @param sameZone whether the runner is in this node's availability zone
     * @param uncachedTokens tokens of the request's prompt that the runner has not cached; 0 without a prompt
     */
    public Candidate(Runner runner, int load, boolean suspended, boolean sameZone, int uncachedTokens) {
        this(runner, load, suspended, sameZone, uncachedTokens, TYPICAL);
    }

    /** Time factor of a runner that is as fast as is typical of its service. */
    static final double TYPICAL = 1;

    /** Returns the same candidate as a runner of typical speed. */
    Candidate withTypicalSpeed() {
        return new Candidate(runner, load, suspended, sameZone, uncachedTokens, TYPICAL);
    }

    boolean hasTypicalSpeed() {
        return timeFactor == TYPICAL;
    }

    /** Returns the maximum load, in requests; with prompts it exceeds the slots, so that a freed slot is refilled. */
    int maxLoad(boolean hasPrompt) {
        return maxLoad(runner.slots(), hasPrompt);
    }

    /**
     * Returns the maximum load of a runner.
     *
     * @param slots slots of the runner
     * @param hasPrompt whether the requests of its service have prompts
     * @return number of requests; with prompts it exceeds the slots, so that a freed slot is refilled
     */
    public static int maxLoad(int slots, boolean hasPrompt) {
        return slots + (hasPrompt ? Math.max(1, slots / RunnerChoice.SLOTS_PER_QUEUED_REQUEST) : 0);
    }
}
