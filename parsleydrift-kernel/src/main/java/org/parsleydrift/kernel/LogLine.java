package org.parsleydrift.kernel;

/** One event as a line of key=value pairs. Values with blanks, quotes or control characters are quoted. */
public final class LogLine {
    private final StringBuilder text;

    private LogLine(String event) {
        text = new StringBuilder("event=").append(event);
    }

    /**
     * Starts a line.
     *
     * @param event the name of the event, lower case with underscores
     * @return a line to add pairs to
     */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /**
     * Adds a pair.
     *
     * @param key the key
     * @param value the value; null is written as a dash
     * @return this line
     */
    public LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=').append(quoted(value == null ? "-" : value.toString()));
        return this;
    }

    /**
     * Adds the step, the peer and the message of a failure.
     *
     * @param failure what went wrong
     * @return this line
     */
    public LogLine failure(Throwable failure) {
        Throwable cause = StepException.unwrap(failure);
        if (cause instanceof StepException known) {
            with("step", known.step()).with("peer", known.peer());
        }
        return with("error", cause.getClass().getSimpleName()).with("reason", cause.getMessage());
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().allMatch(LogLine::plain);
        if (plain) {
            return value;
        }
        StringBuilder out = new StringBuilder("\"");
        value.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                out.append('\\').append((char) c);
            } else if (c < ' ') {
                out.append(' ');
            } else {
                out.append((char) c);
            }
        });
        return out.append('"').toString();
    }

    private static boolean plain(int c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127;
    }
}
