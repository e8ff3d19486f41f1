package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.registry.Route;

/** Decides which requests a node accepts that ends soon: those that it can expect to answer in the time that is left. */
final class DrainAdmission {
    /**
     * Time that a request must have, as a multiple of its route's target latency, if its caller cannot repeat it after an
     * attempt whose outcome is unknown.
     */
    private static final int UNREPEATABLE_LATENCIES = 4;

    /** The same if its caller can repeat it. */
    private static final int REPEATABLE_LATENCIES = 2;

    /** The same if no other node is ready: a rejected caller has nowhere to go. */
    private static final int SOLE_NODE_LATENCIES = 1;

    private DrainAdmission() {}

    /**
     * Returns whether a request is accepted.
     *
     * @param route route of the request
     * @param timeout time that the caller gives the request
     * @param timeLeft time until the node must have answered
     * @param otherNodeReady whether another node can serve the caller
     */
    static boolean accepts(Route route, Duration timeout, Duration timeLeft, boolean otherNodeReady) {
        Duration needed = timeout;
        if (!route.targetLatency().isZero()) {
            Duration usual = route.targetLatency().multipliedBy(latencies(route, otherNodeReady));
            needed = usual.compareTo(timeout) < 0 ? usual : timeout;
        }
        return timeLeft.compareTo(needed) >= 0;
    }

    private static int latencies(Route route, boolean otherNodeReady) {
        if (!otherNodeReady) {
            return SOLE_NODE_LATENCIES;
        }
        return route.isRetriable() ? REPEATABLE_LATENCIES : UNREPEATABLE_LATENCIES;
    }
}
