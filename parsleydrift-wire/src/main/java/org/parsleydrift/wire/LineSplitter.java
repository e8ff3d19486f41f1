package org.parsleydrift.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Makes lines of the pieces in which a streamed body arrives. Not thread-safe. */
public final class LineSplitter {
    private final Consumer<String> lines;
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();

    /**
     * Makes a splitter.
     *
     * @param lines receives each whole line, without its end
     */
    public LineSplitter(Consumer<String> lines) {
        this.lines = lines;
    }

    /** Drops a line that was begun: its connection broke, and the next one begins anew. */
    public void reset() {
        begun.reset();
    }

    /**
     * Takes a piece.
     *
     * @param bytes UTF-8 text, cut anywhere
     */
    public void append(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                String line = begun.toString(StandardCharsets.UTF_8);
                begun.reset();
                lines.accept(line);
            } else {
                begun.write(each);
            }
        }
    }
}
