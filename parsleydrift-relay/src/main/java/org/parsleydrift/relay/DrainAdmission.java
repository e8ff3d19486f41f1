package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.registry.Route;

/**
 * Decides which requests a node accepts that ends soon: those that it can expect to answer in the time that is left, by the
 * latencies of the requests of their route, or by its target latency while too few are known.
 */
final class DrainAdmission {
    /**
     * Quantile of the latencies for requests that callers cannot repeat: for them an attempt whose outcome is unknown is
     * final, a rejection is not.
     */
    private static final double UNREPEATABLE_QUANTILE = 1;

    /** Quantile of the latencies for other requests. */
    private static final double REPEATABLE_QUANTILE = 0.9;

    /** Multiple of the target latency for requests that callers cannot repeat. */
    private static final int UNREPEATABLE_LATENCIES = 4;

    /** Multiple of the target latency for other requests. */
    private static final int REPEATABLE_LATENCIES = 2;

    /** The same if no other node is ready: a rejected caller has nowhere to go. */
    private static final int SOLE_NODE_LATENCIES = 1;

    private final RouteLatencies latencies;

    DrainAdmission(RouteLatencies latencies) {
        this.latencies = latencies;
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param route route of the request
     * @param timeout time that the caller gives the request
     * @param timeLeft time until the node must have answered
     * @param otherNodeReady whether another node can serve the caller
     */
    boolean accepts(Route route, Duration timeout, Duration timeLeft, boolean otherNodeReady) {
        Duration usual = latencies
                .quantile(route.name(), route.isRetriable() ? REPEATABLE_QUANTILE : UNREPEATABLE_QUANTILE)
                .orElseGet(() -> targetLatency(route, timeout, otherNodeReady));
        return timeLeft.compareTo(usual) >= 0 || timeLeft.compareTo(timeout) >= 0;
    }

    private static Duration targetLatency(Route route, Duration timeout, boolean otherNodeReady) {
        if (route.targetLatency().isZero()) {
            return timeout;
        }
        if (!otherNodeReady) {
            return route.targetLatency().multipliedBy(SOLE_NODE_LATENCIES);
        }
        return route.targetLatency().multipliedBy(route.isRetriable() ? REPEATABLE_LATENCIES : UNREPEATABLE_LATENCIES);
    }
}
