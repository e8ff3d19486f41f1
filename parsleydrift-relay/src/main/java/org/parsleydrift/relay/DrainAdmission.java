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

    private DrainAdmission() {}

    /**
     * Returns whether a request is accepted.
     *
     * @param route route of the request
     * @param timeout time that the caller gives the request
     * @param timeLeft time until the node must have answered
     */
    static boolean accepts(Route route, Duration timeout, Duration timeLeft) {
        Duration needed = timeout;
        if (!route.targetLatency().isZero()) {
            int latencies = route.isRetriable() ? REPEATABLE_LATENCIES : UNREPEATABLE_LATENCIES;
            Duration usual = route.targetLatency().multipliedBy(latencies);
            needed = usual.compareTo(timeout) < 0 ? usual : timeout;
        }
        return timeLeft.compareTo(needed) >= 0;
    }
}
