package org.parsleydrift.kernel.codec;

/**
 * An error in a JSON text.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param pointer the JSON pointer of the invalid value; empty for the whole document
 * @param message the description of the error
 */
public record JsonError(int line, int column, String pointer, String message) {
    @Override
    public String toString() {
        return line + ":" + column + " " + (pointer.isEmpty() ? "/" : pointer) + " " + message;
    }
}
