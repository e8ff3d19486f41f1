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
 * Parameters of a request, parsed from its headers.
 *
 * @param id id of this attempt of the caller
 * @param deadlineMillis time that the caller waits, ms; empty if not specified
 * @param program id of the program; the empty string for none
 * @param budget token budget of the program; empty if not specified
 * @param mostTokens maximum number of tokens that the turn generates; 0 if not specified
 * @param previousTurn id of the turn that this turn continues; the empty string for none
 * @param prompt parts of the prompt in order; empty if there is none
 */
record RequestFacts(
        String id,
        OptionalLong deadlineMillis,
        String program,
        OptionalInt budget,
        int mostTokens,
        String previousTurn,
        List<PromptPart> prompt) {
    /** Assumed length of a prompt without parts, tokens. */
    private static final int USUAL_PROMPT_TOKENS = 1000;

    private static final Pattern COMMA = Pattern.compile(",");
    /** A part with a token count of at most eight digits, which cannot overflow an int. */
    private static final Pattern PART = Pattern.compile("\\s*[^,:\\s]+:\\d{1,8}\\s*");

    /**
     * Returns whether the request is a turn recorded by the store VMs: one that is stored, or that has a program's
     * budget.
     */
    boolean turnOn(Route route) {
        return route.isStreaming() && (route.stateful() || (budget.isPresent() && !program.isEmpty()));
    }

    /** Returns the total length of the prompt, tokens. */
    int promptTokens() {
        return prompt.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Parses the headers.
     *
     * @return the parameters; empty if the request id is missing or a number is malformed
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
     * Parses the prompt parts. They only affect placement, so a malformed header is treated as absent. Without parts,
     * the prompt of a turn counts as one part that the turns of its program share.
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
