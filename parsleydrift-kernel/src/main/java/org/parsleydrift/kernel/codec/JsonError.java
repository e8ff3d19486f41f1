package org.parsleydrift.kernel.codec;

/**
 * A fault in a JSON text.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param pointer the JSON pointer of the faulty value; empty for the document
 * @param message what is wrong
 */
public record JsonError(int line, int column, String pointer, String message) {
    @Override
    public String toString() {
        return line + ":" + column + " " + (pointer.isEmpty() ? "/" : pointer) + " " + message;
    }
}
