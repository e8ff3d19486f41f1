package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * The id of a program or of a plain call: the ticket (a journal) and the caller's own team and key. A retry keeps its
 * first ticket, so it always leads to the journal in which the first attempt may stand.
 *
 * @param journal the node incarnation whose journal the caller's ticket names
 * @param issuedMinutes when the ticket was issued, in minutes since the epoch; old tickets start nothing new
 * @param team the caller's team
 * @param key the caller's own key
 */
public record ProgramId(String journal, long issuedMinutes, String team, String key) {
    private static final Pattern PART = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String SEPARATOR = "~";

    /**
     * Checks the parts. A part with a slash or a blank could name another object on the platform or split a log line.
     *
     * @throws StepException if a part is not 1 to 64 letters, digits, dots, dashes and underscores
     */
    public ProgramId {
        check("ticket", journal);
        check("team", team);
        check("key", key);
    }

    /**
     * Reads an id.
     *
     * @param text what {@link #toString} gives
     * @return the id
     * @throws StepException if the text is no id
     */
    @JsonCreator
    public static ProgramId parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != 4) {
            throw new StepException(Step.PARSE, "caller", "not a program id");
        }
        return new ProgramId(parts[0], minutes(parts[1]), parts[2], parts[3]);
    }

    @JsonValue
    @Override
    public String toString() {
        return ticket() + SEPARATOR + team + SEPARATOR + key;
    }

    /**
     * The ticket in it.
     *
     * @return journal and time of issue
     */
    public String ticket() {
        return journal + SEPARATOR + issuedMinutes;
    }

    private static long minutes(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException fault) {
            throw new StepException(Step.PARSE, "caller", "the ticket has no time of issue");
        }
    }

    private static void check(String part, String value) {
        if (value == null || !PART.matcher(value).matches()) {
            throw new StepException(Step.PARSE, "caller", part + " must match " + PART.pattern());
        }
    }
}
