package org.parsleydrift.registry;

import java.time.Duration;
import java.util.List;

/**
 * Route of the manifest.
 *
 * @param name name of the route
 * @param host host name that callers send
 * @param pathPrefix prefix of the paths served; begins and ends with a slash
 * @param kind retry and response semantics
 * @param timeout maximum time that a request may take
 * @param targetLatency target response time; zero for none
 * @param maxAttempts maximum number of runners that one request is sent to
 * @param priority priority of the requests; 0 is the highest
 * @param resumable whether an interrupted stream can continue on another runner
 * @param stateful whether the turns of conversations are stored
 * @param retention how long a turn is stored
 * @param anonymousAllowed whether callers need no API key, if the manifest names teams
 * @param destinations weighted services that serve the route
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
    /** Copies the list. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * Whether requests can be sent again after a runner may have started them.
     *
     * @return true for idempotent routes
     */
    public boolean isIdempotent() {
        return kind == CallKind.IDEMPOTENT;
    }

    /**
     * Whether responses are event streams.
     *
     * @return true for streaming routes
     */
    public boolean isStreaming() {
        return kind == CallKind.STREAMING;
    }

    /**
     * Whether a request can be retried on another runner after a first one may have started it.
     *
     * @return true for idempotent routes and resumable streams
     */
    public boolean isRetriable() {
        return isIdempotent() || (isStreaming() && resumable);
    }

    /**
     * Selects a destination at random by weight.
     *
     * @param random random number, at least 0 and below 1
     * @return name of the service
     */
    public String selectDestination(double random) {
        int total = destinations.stream().mapToInt(Destination::weight).sum();
        double left = random * total;
        for (Destination each : destinations) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return destinations.getLast().service();
    }
}
