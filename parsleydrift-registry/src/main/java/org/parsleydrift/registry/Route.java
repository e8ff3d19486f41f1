package org.parsleydrift.registry;

import java.time.Duration;
import java.util.List;

/**
 * A route of the manifest.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix the start of the paths it serves; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout the longest time that a request may be kept waiting
 * @param targetLatency the time within which an answer is of full worth
 * @param maxAttempts runners that one request may run on
 * @param priority its rank; 0 is the highest
 * @param resumable whether a stream may go on at another runner
 * @param stateful whether the system keeps what was said
 * @param retention how long a turn is kept
 * @param anonymousAllowed whether callers need no key, where the manifest names teams
 * @param destinations the services that serve it, with weights
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        Duration timeout,
        Duration targetLatency,
        int maxAttempts,
        int priority,
        boolean resumable,
        boolean stateful,
        Duration retention,
        boolean anonymousAllowed,
        List<Destination> destinations) {
    /** Copies the destinations. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * Whether a request may be sent again though a runner may have begun it.
     *
     * @return true for idempotent routes
     */
    public boolean isIdempotent() {
        return kind == CallKind.IDEMPOTENT;
    }

    /**
     * Whether answers are streams of events.
     *
     * @return true for streaming routes
     */
    public boolean isStreaming() {
        return kind == CallKind.STREAMING;
    }

    /**
     * Whether a request may go to another runner though one may have begun it.
     *
     * @return true for idempotent routes and streams that may be resumed
     */
    public boolean isRetriable() {
        return isIdempotent() || (isStreaming() && resumable);
    }

    /**
     * Chooses a destination.
     *
     * @param draw a number from 0 to 1, not 1
     * @return the service
     */
    public String selectDestination(double draw) {
        int total = destinations.stream().mapToInt(Destination::weight).sum();
        double left = draw * total;
        for (Destination each : destinations) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return destinations.getLast().service();
    }
}
