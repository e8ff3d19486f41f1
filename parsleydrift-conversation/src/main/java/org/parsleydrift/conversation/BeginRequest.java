package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request to begin a turn.
 *
 * @param program the program; empty for none
 * @param request the request ID
 * @param budget the number of tokens that all turns of the program together may generate, if limited
 * @param maxTokens the maximum number of tokens that this turn may generate
 * @param previous the ID of the preceding turn; empty for none
 * @param retention the retention period of the reservation
 * @param timeout how long to retry each request to the store VMs
 * @param origin the origin of the turn's stream, written with the reservation; empty if the turn is not bound to one
 * @param resumption the stream that the turn continues, whose origin is read
 */
public record BeginRequest(
        String program,
        String request,
        OptionalInt budget,
        int maxTokens,
        String previous,
        Duration retention,
        Duration timeout,
        Optional<StreamOrigin> origin,
        ResumedStream resumption) {
    /**
     * Creates a request for a turn whose stream neither has a known origin nor continues another one.
     *
     * @param program the program; empty for none
     * @param request the request ID
     * @param budget the number of tokens that all turns of the program together may generate, if limited
     * @param maxTokens the maximum number of tokens that this turn may generate
     * @param previous the ID of the preceding turn; empty for none
     * @param retention the retention period of the reservation
     * @param timeout how long to retry each request to the store VMs
     */
    public BeginRequest(
            String program,
            String request,
            OptionalInt budget,
            int maxTokens,
            String previous,
            Duration retention,
            Duration timeout) {
        this(
                program,
                request,
                budget,
                maxTokens,
                previous,
                retention,
                timeout,
                Optional.empty(),
                new ResumedStream.None());
    }
}
