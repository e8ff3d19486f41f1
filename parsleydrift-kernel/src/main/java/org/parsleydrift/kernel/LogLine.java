package org.parsleydrift.kernel;

/** A log event formatted as key=value pairs. Values with spaces, quotes or control characters are quoted. */
public final class LogLine {
    private final StringBuilder text;

    private LogLine(String event) {
        text = new StringBuilder("event=").append(event);
    }

    /**
     * Creates a line with the name of its event.
     *
     * @param event the name of the event in lower case with underscores
     * @return the new line
     */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /**
     * Appends a key=value pair.
     *
     * @param key the key
     * @param value the value; null is written as a dash
     * @return this line
     */
    public LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=').append(quoteIfNeeded(value == null ? "-" : value.toString()));
        return this;
    }

    /**
     * Appends the type and message of an exception, and the step and peer of a {@link StepException}.
     *
     * @param failure the exception; exceptions that futures add are unwrapped
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

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().allMatch(LogLine::isPlain);
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

    private static boolean isPlain(int c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127;
    }
}
