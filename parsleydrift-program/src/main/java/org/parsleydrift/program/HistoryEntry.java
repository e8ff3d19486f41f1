package org.parsleydrift.program;

/**
 * A piece of an agent's history.
 *
 * @param kind who said it
 * @param text what was said
 */
public record HistoryEntry(Kind kind, String text) {
    /** Who said a piece of history. */
    public enum Kind {
        /** The first input. */
        INPUT,
        /** The model. */
        MODEL,
        /** A tool. */
        TOOL,
        /** A sub-agent. */
        CHILD,
        /** The person on the other side. */
        MESSAGE
    }

    /**
     * The entry as a part of a prompt.
     *
     * @return kind and text
     */
    public String promptText() {
        return kind + ": " + text;
    }
}
