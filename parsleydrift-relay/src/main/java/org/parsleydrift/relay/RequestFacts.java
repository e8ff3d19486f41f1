package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.Route;

/**
 * What the headers of a request say.
 *
 * @param id the id of this try
 * @param deadlineMillis time that the caller waits, ms
 * @param program the program; empty for none
 * @param budget the program's token budget
 * @param mostTokens the most tokens that the turn generates; 0 if not said
 * @param previousTurn the turn it goes on from; empty for none
 * @param prompt parts of its prompt, in order; empty where it has none
 */
record RequestFacts(
        String id,
        OptionalLong deadlineMillis,
        String program,
        OptionalInt budget,
        int mostTokens,
        String previousTurn,
        List<PromptPart> prompt) {
    /** Tokens of a prompt whose length is not said: a usual one. */
    private static final int USUAL_PROMPT_TOKENS = 1000;

    private static final Pattern COMMA = Pattern.compile(",");
    /** A part with up to eight digits of tokens: more than any engine holds, and no overflow. */
    private static final Pattern PART = Pattern.compile("\\s*[^,:\\s]+:\\d{1,8}\\s*");

    /** Whether it is a turn, which the store VMs are told of: one that is kept, or that has a program's budget. */
    boolean turnOn(Route route) {
        return route.isStreaming() && (route.stateful() || (budget.isPresent() && !program.isEmpty()));
    }

    /** Tokens of all parts of the prompt. */
    int promptTokens() {
        return prompt.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Reads the headers.
     *
     * @return the facts; empty if one of them makes no sense
     */
    static Optional<RequestFacts> read(HttpHeaders headers, HeaderNames dialect) {
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
                    headers.get(dialect.previousTurn(), ""),
                    prompt(headers, dialect)));
        } catch (NumberFormatException fault) {
            return Optional.empty();
        }
    }

    /**
     * Without parts the whole prompt is one, shared by the turns of its program. Parts only help to choose a runner, so a
     * header that can't be read counts as none: a refusal would cost the caller an answer that any runner can give.
     */
    private static List<PromptPart> prompt(HttpHeaders headers, HeaderNames dialect) {
        String[] parts = COMMA.split(headers.get(dialect.promptParts(), ""), -1);
        if (Arrays.stream(parts).allMatch(PART.asMatchPredicate())) {
            return Arrays.stream(parts).map(RequestFacts::part).toList();
        }
        String program = headers.get(dialect.program(), "");
        boolean turn = headers.contains(dialect.tokenBudget()) || headers.contains(dialect.tokenCount());
        return turn && !program.isEmpty() ? List.of(new PromptPart(program, USUAL_PROMPT_TOKENS)) : List.of();
    }

    private static PromptPart part(String text) {
        int colon = text.lastIndexOf(':');
        return new PromptPart(
                text.substring(0, colon).trim(),
                Integer.parseInt(text.substring(colon + 1).trim()));
    }

    private static int mostTokens(String counts) {
        if (counts == null) {
            return 0;
        }
        int comma = counts.indexOf(',');
        return comma < 0 ? 0 : Integer.parseInt(counts.substring(comma + 1).trim());
    }
}
