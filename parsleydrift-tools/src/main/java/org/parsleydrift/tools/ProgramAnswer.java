package org.parsleydrift.tools;

/**
 * The answer of a program that has ended.
 *
 * @param text the text received
 * @param end how the program ended, such as {@code complete}
 * @param detail the reason of the end
 * @param length length in characters according to the end event
 */
public record ProgramAnswer(String text, String end, String detail, long length) {
    /**
     * Whether the text was received completely.
     *
     * @return true if the text has the length that the end event states
     */
    public boolean whole() {
        return text.length() == length;
    }
}
