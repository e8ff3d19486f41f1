package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the headers of a request say.
 *
 * @param id the id of this try
 * @param deadlineMillis time that the caller waits, ms
 * @param program the program; empty for none
 * @param budget the program's token budget
 * @param mostTokens the most tokens that the turn generates; 0 if not said
 * @param previousTurn the turn it goes on from; empty for none
 */
record RequestFacts(
        String id,
        OptionalLong deadlineMillis,
        String program,
        OptionalInt budget,
        int mostTokens,
        String previousTurn) {
    /**
     * Reads the headers.
     *
     * @return the facts; empty if one of them makes no sense
     */
    static Optional<RequestFacts> read(HttpHeaders headers, RelayDialect dialect) {
        String id = headers.get(dialect.requestId());
        if (id == null || id.isBlank()) {
            return Optional.empty();
        }
        try {
            String deadline = headers.get(dialect.deadlineMillis());
            String budget = headers.get(dialect.tokenBudget());
            return Optional.of(new RequestFacts(
                    id,
                    deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline.trim())),
                    headers.get(dialect.program(), ""),
                    budget == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(budget.trim())),
                    mostTokens(headers.get(dialect.tokenCount())),
                    headers.get(dialect.previousTurn(), "")));
        } catch (NumberFormatException fault) {
            return Optional.empty();
        }
    }

    private static int mostTokens(String counts) {
        if (counts == null) {
            return 0;
        }
        int comma = counts.indexOf(',');
        return comma < 0 ? 0 : Integer.parseInt(counts.substring(comma + 1).trim());
    }
}
