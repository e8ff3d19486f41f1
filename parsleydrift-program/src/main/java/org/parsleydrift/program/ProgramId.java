package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * The id of a program or of a plain call. It consists of a ticket, which names a journal, and of the caller's team and
 * idempotency key. A retry carries the ticket of the first attempt and therefore reaches the journal that may contain
 * that attempt.
 *
 * @param journal the node incarnation whose journal the ticket names
 * @param issuedMinutes the time of issue of the ticket, in minutes since the epoch; expired tickets start no new program
 * @param team the caller's team
 * @param key the caller's idempotency key
 */
public record ProgramId(String journal, long issuedMinutes, String team, String key) {
    private static final Pattern PART_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String SEPARATOR = "~";

    /**
     * Validates the parts. They become parts of object names and of log lines, so slashes and white space are rejected.
     *
     * @throws StepException if a part is not 1 to 64 letters, digits, dots, dashes and underscores, starting with a
     *     letter or a digit
     */
    public ProgramId {
        validate("ticket", journal);
        validate("team", team);
        validate("key", key);
    }

    /**
     * Parses an id.
     *
     * @param text the form returned by {@link #toString}
     * @return the id
     * @throws StepException if the text does not have this form
     */
    @JsonCreator
    public static ProgramId parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != 4) {
            throw new StepException(Step.PARSE, "caller", "malformed program id, expected JOURNAL~MINUTES~TEAM~KEY");
        }
        return new ProgramId(parts[0], parseMinutes(parts[1]), parts[2], parts[3]);
    }

    @JsonValue
    @Override
    public String toString() {
        return ticket() + SEPARATOR + team + SEPARATOR + key;
    }

    /**
     * Returns the ticket contained in this id.
     *
     * @return the journal and the time of issue, separated by a tilde
     */
    public String ticket() {
        return journal + SEPARATOR + issuedMinutes;
    }

    private static long parseMinutes(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new StepException(
                    Step.PARSE, "caller", "malformed ticket, the time of issue is not a number of minutes");
        }
    }

    private static void validate(String part, String value) {
        if (value == null || !PART_PATTERN.matcher(value).matches()) {
            throw new StepException(Step.PARSE, "caller", part + " must match " + PART_PATTERN.pattern());
        }
    }
}
