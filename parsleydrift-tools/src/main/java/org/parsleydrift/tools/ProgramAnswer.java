package org.parsleydrift.tools;

/**
 * A whole answer.
 *
 * @param text what the program said
 * @param end why it is over
 * @param detail the reason
 * @param length characters that the end event names
 */
public record ProgramAnswer(String text, String end, String detail, long length) {
    /**
     * Whether nothing is missing.
     *
     * @return true if the text has the length that the end names
     */
    public boolean whole() {
        return text.length() == length;
    }
}
