package org.parsleydrift.placement;

import org.parsleydrift.registry.Runner;

/**
 * A runner as seen when a request is placed.
 *
 * @param runner the runner
 * @param load requests that this node and, by their last report, its peers have there
 * @param suspended whether it has failed lately and is left alone for a while
 * @param near whether it is in this node's availability zone
 */
public record Candidate(Runner runner, int load, boolean suspended, boolean near) {
    boolean hasRoom() {
        return load < runner.slots();
    }
}
