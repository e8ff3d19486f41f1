package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * What a turn needs before it may go to a runner.
 *
 * @param program its program; empty for none
 * @param request the id of the request
 * @param budget tokens that all turns of the program may generate, if it has a budget
 * @param mostTokens the most that this turn generates
 * @param previous the turn it goes on from; empty for none
 * @param retention how long the program's records are needed
 * @param patience how long to try
 */
public record BeginRequest(
        String program,
        String request,
        OptionalInt budget,
        int mostTokens,
        String previous,
        Duration retention,
        Duration patience) {}
