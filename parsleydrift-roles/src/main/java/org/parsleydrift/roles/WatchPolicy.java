package org.parsleydrift.roles;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides whether a node watches the platform. The watching nodes are the first ones, by name, that the platform answers.
 *
 * <p>In an outage the platform answers no node, so every node would become one of the first and retry its watches; each
 * request counts against the platform's rate. Only the first nodes then retry all the time. Of the others a few per
 * second, drawn at random, retry as well, since the platform may reject the first ones only.
 *
 * @param watchingNodes number of nodes that watch, of the nodes that share the work
 */
record WatchPolicy(long watchingNodes) {
    /** Retries per second of all rejected nodes that are not among the first ones. */
    private static final double OTHER_RETRIES_PER_SECOND = 1;

    /**
     * Nodes that share the work, as this node sees them.
     *
     * @param preceding number of live nodes before this one
     * @param precedingAnswered number of those that the platform answers
     * @param live number of all live nodes, including this one
     * @param answered whether the platform answers this node, by its latest request
     */
    record View(long preceding, long precedingAnswered, long live, boolean answered) {}

    /**
     * Returns whether this node watches until the next decision.
     *
     * @param view nodes that share the work
     * @param sinceDecision time since the previous decision
     * @param random source of randomness for the retries of rejected nodes
     */
    boolean watches(View view, Duration sinceDecision, RandomGenerator random) {
        if (view.precedingAnswered() >= watchingNodes) {
            return false;
        }
        if (view.answered() || view.preceding() < watchingNodes) {
            return true;
        }
        double others = Math.max(1, view.live() - watchingNodes);
        return random.nextDouble() < OTHER_RETRIES_PER_SECOND * sinceDecision.toMillis() / 1000.0 / others;
    }
}
