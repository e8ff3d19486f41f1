package org.parsleydrift.placement;

import org.parsleydrift.registry.Runner;

/**
 * A runner as seen when a request is placed.
 *
 * @param runner the runner
 * @param load requests that this node and, by their last report, its peers have there
 * @param suspended whether it has failed lately and is left alone for a while
 * @param sameZone whether it is in this node's availability zone
 * @param uncachedTokens tokens of the request's prompt that it would have to read; 0 where there is no prompt
 */
public record Candidate(Runner runner, int load, boolean suspended, boolean sameZone, int uncachedTokens) {
    /** Requests that it may be given in all; a few more than it works on, so that none of its places waits for us. */
    int maxLoad(boolean prompted) {
        return runner.slots() + (prompted ? Math.max(1, runner.slots() / RunnerChoice.QUEUED_SHARE) : 0);
    }
}
