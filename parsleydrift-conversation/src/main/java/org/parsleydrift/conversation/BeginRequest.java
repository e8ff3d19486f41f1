package org.parsleydrift.conversation;

import java.time.Duration;
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
 */
public record BeginRequest(
        String program,
        String request,
        OptionalInt budget,
        int maxTokens,
        String previous,
        Duration retention,
        Duration timeout) {}
