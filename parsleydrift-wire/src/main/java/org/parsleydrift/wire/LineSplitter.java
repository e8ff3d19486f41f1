package org.parsleydrift.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a streamed body into lines. Not thread-safe. */
public final class LineSplitter {
    private final Consumer<String> lines;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /**
     * Creates a splitter.
     *
     * @param lines receives each complete line without its line feed
     */
    public LineSplitter(Consumer<String> lines) {
        this.lines = lines;
    }

    /** Discards an incomplete line, for use after a lost connection. */
    public void reset() {
        partialLine.reset();
    }

    /**
     * Appends a chunk and passes on the lines that it completes.
     *
     * @param bytes UTF-8 text, which may begin and end within a character
     */
    public void append(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                String line = partialLine.toString(StandardCharsets.UTF_8);
                partialLine.reset();
                lines.accept(line);
            } else {
                partialLine.write(each);
            }
        }
    }
}
