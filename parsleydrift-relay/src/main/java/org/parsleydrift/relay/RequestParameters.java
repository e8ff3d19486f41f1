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
 * @param programDeadlineMillis time left until the program should be finished, ms; empty if not specified or malformed
 * @param program id of the program; the empty string for none
 * @param budget token budget of the program; empty if not specified
 * @param maxTokens maximum number of tokens that the turn generates; 0 if not specified
 * @param previousTurn id of the turn that this turn continues; the empty string for none
 * @param prompt parts of the prompt in order; empty if there is none
 * @param resumption the interrupted stream that the caller asks to continue; empty for a new request
 */
record RequestParameters(
        String id,
        OptionalLong deadlineMillis,
        OptionalLong programDeadlineMillis,
        String program,
        OptionalInt budget,
        int maxTokens,
        String previousTurn,
        List<PromptPart> prompt,
        Optional<StreamResumption> resumption) {
    /** Assumed length of a prompt without parts, tokens. */
    private static final int DEFAULT_PROMPT_TOKENS = 1000;

    private static final Pattern COMMA = Pattern.compile(",");
    /** A non-negative time of at most 18 digits, which cannot overflow a long. */
    private static final Pattern MILLIS = Pattern.compile("\\d{1,18}");
    /** A part with a token count of at most eight digits, which cannot overflow an int. */
    private static final Pattern PART = Pattern.compile("\\s*[^,:\\s]+:\\d{1,8}\\s*");

    /**
     * Returns whether the request is a turn that the store VMs record: a stored one, or one with a program's budget.
     */
    boolean isTurn(Route route) {
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
    static Optional<RequestParameters> parse(HttpHeaders headers, HeaderNames headerNames) {
        String id = headers.get(headerNames.requestId());
        if (id == null || id.isBlank()) {
            return Optional.empty();
        }
        try {
            String deadline = headers.get(headerNames.deadlineMillis());
            String budget = headers.get(headerNames.tokenBudget());
            return Optional.of(new RequestParameters(
                    id,
                    deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline.trim())),
                    parseProgramDeadline(headers.get(headerNames.programDeadlineMillis(), "")),
                    headers.get(headerNames.program(), ""),
                    budget == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(budget.trim())),
                    parseMaxTokens(headers.get(headerNames.tokenCount())),
                    headers.get(headerNames.previousTurn(), ""),
                    parsePrompt(headers, headerNames),
                    parseResumption(headers, headerNames)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses the prompt parts. They only affect placement, so a malformed header is treated as absent. Without parts,
     * the prompt of a turn counts as one part that the turns of its program share.
     */
    private static List<PromptPart> parsePrompt(HttpHeaders headers, HeaderNames headerNames) {
        String[] parts = COMMA.split(headers.get(headerNames.promptParts(), ""), -1);
        if (Arrays.stream(parts).allMatch(PART.asMatchPredicate())) {
            return Arrays.stream(parts).map(RequestParameters::parsePart).toList();
        }
        String program = headers.get(headerNames.program(), "");
        boolean turn = headers.contains(headerNames.tokenBudget()) || headers.contains(headerNames.tokenCount());
        return turn && !program.isEmpty() ? List.of(new PromptPart(program, DEFAULT_PROMPT_TOKENS)) : List.of();
    }

    private static PromptPart parsePart(String text) {
        int colon = text.lastIndexOf(':');
        return new PromptPart(
                text.substring(0, colon).trim(),
                Integer.parseInt(text.substring(colon + 1).trim()));
    }

    private static Optional<StreamResumption> parseResumption(HttpHeaders headers, HeaderNames headerNames) {
        return Optional.ofNullable(headers.get(headerNames.lastEventId()))
                .map(lastEventId -> new StreamResumption(
                        headers.get(headerNames.resumedStream(), "").trim(), lastEventId.trim()));
    }

    /** Parses the remaining time of the program, which only affects the order of requests. */
    private static OptionalLong parseProgramDeadline(String millis) {
        String text = millis.trim();
        return MILLIS.matcher(text).matches() ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    private static int parseMaxTokens(String counts) {
        if (counts == null) {
            return 0;
        }
        int comma = counts.indexOf(',');
        return comma < 0 ? 0 : Integer.parseInt(counts.substring(comma + 1).trim());
    }
}
