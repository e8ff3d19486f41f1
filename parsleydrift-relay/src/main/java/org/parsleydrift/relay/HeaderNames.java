package org.parsleydrift.relay;

import java.util.Set;

/**
 * Names of the headers that the relay reads and sets. The product's own names are {@link #defaults}; an adapter gives those
 * of another interface.
 *
 * @param requestId id of one try of a caller
 * @param deadlineMillis time that is left, ms
 * @param expectInstance the runner that a request is meant for
 * @param instance the runner that answered
 * @param stamp a runner's proof of its answer
 * @param notExecuted says that the runner has not run the request
 * @param program the program of a request
 * @param programDeadlineMillis time until the program should have ended, ms
 * @param tokenBudget tokens that all turns of the program may generate
 * @param tokenCount prompt tokens and most output tokens, separated by a comma
 * @param previousTurn the turn that a turn goes on from
 * @param promptParts parts of the prompt in order, each "ID:TOKENS", separated by commas
 * @param key the caller's key
 * @param team the name of the team that holds the key; for runners
 * @param reserved headers in lower case that don't go on to runners as callers send them
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String expectInstance,
        String instance,
        String stamp,
        String notExecuted,
        String program,
        String programDeadlineMillis,
        String tokenBudget,
        String tokenCount,
        String previousTurn,
        String promptParts,
        String key,
        String team,
        Set<String> reserved) {
    /** Copies the set. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }

    /**
     * The product's own names.
     *
     * @return the names
     */
    public static HeaderNames defaults() {
        return new HeaderNames(
                "Parsleydrift-Request",
                "Parsleydrift-Deadline-Ms",
                "Parsleydrift-Expect-Runner",
                "Parsleydrift-Runner",
                "Parsleydrift-Stamp",
                "Parsleydrift-Not-Executed",
                "Parsleydrift-Program",
                "Parsleydrift-Program-Deadline-Ms",
                "Parsleydrift-Token-Budget",
                "Parsleydrift-Tokens",
                "Parsleydrift-Previous-Turn",
                "Parsleydrift-Prompt-Parts",
                "Parsleydrift-Key",
                "Parsleydrift-Team",
                Set.of("parsleydrift-expect-runner", "parsleydrift-key", "parsleydrift-team"));
    }
}
