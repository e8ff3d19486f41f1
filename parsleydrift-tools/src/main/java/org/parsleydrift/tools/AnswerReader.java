package org.parsleydrift.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.wire.LineSplitter;

/** Reads the server-sent events of an answer and keeps its offset across connections. Thread-safe. */
final class AnswerReader {
    private final long start;
    private final Consumer<String> pieces;
    private final StringBuilder text = new StringBuilder();
    private final LineSplitter lines = new LineSplitter(this::handleLine);
    private String event = "";
    private ProgramAnswer answer;
    private boolean progressed;

    AnswerReader(long start, Consumer<String> pieces) {
        this.start = start;
        this.pieces = pieces;
    }

    synchronized long offset() {
        return start + text.length();
    }

    synchronized boolean hasEnded() {
        return answer != null;
    }

    synchronized ProgramAnswer answer() {
        return answer;
    }

    synchronized boolean pollProgress() {
        boolean was = progressed;
        progressed = false;
        return was;
    }

    synchronized void newConnection() {
        lines.reset();
        event = "";
    }

    synchronized void append(byte[] bytes) {
        lines.append(bytes);
    }

    private void handleLine(String read) {
        if (read.startsWith("event: ")) {
            event = read.substring("event: ".length());
        } else if (read.startsWith("data: ")) {
            try {
                handleEvent(JsonDocument.MAPPER.readTree(read.substring("data: ".length())));
            } catch (JsonProcessingException fault) {
                throw new IllegalStateException("event data is not valid JSON: " + read, fault);
            }
        }
    }

    private void handleEvent(JsonNode data) {
        switch (event) {
            case "output" ->
                appendOutput(data.path("offset").asLong(), data.path("text").asText());
            case "rewind" ->
                text.setLength((int) Math.max(0, data.path("offset").asLong() - start));
            case "end" -> {
                answer = new ProgramAnswer(
                        text.toString(),
                        data.path("end").asText(),
                        data.path("detail").asText(),
                        data.path("length").asLong() - start);
            }
            default -> {
                return;
            }
        }
    }

    private void appendOutput(long offset, String piece) {
        if (offset != offset()) {
            throw new IllegalStateException("output at offset " + offset + ", expected " + offset());
        }
        text.append(piece);
        progressed = true;
        pieces.accept(piece);
    }
}
