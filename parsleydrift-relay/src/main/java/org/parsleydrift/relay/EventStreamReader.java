package org.parsleydrift.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream into whole events, checks that their ids grow one by one, and gathers what counts: the number of
 * events and their data. A runner may stop in the middle of an event; a part of one is never passed on.
 */
final class EventStreamReader {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final boolean keepsData;
    private long lastId = Long.MIN_VALUE;
    private int events;
    private boolean eventHasLines;
    private boolean outOfOrder;

    EventStreamReader(boolean keepsData) {
        this.keepsData = keepsData;
    }

    /** Takes bytes; gives those that complete events. */
    byte[] take(byte[] bytes) {
        whole.reset();
        for (byte each : bytes) {
            begun.write(each);
            if (each == '\n') {
                endLine();
            } else if (each != '\r') {
                line.write(each);
            }
        }
        return whole.toByteArray();
    }

    int events() {
        return events;
    }

    /** Whether all bytes belong to whole events in order. */
    boolean sound() {
        return begun.size() == 0 && !outOfOrder;
    }

    boolean outOfOrder() {
        return outOfOrder;
    }

    /** The data of all events, each followed by a line feed. */
    byte[] data() {
        return data.toByteArray();
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.isEmpty()) {
            eventHasLines = true;
            takeField(text);
            return;
        }
        if (eventHasLines) {
            events++;
            eventHasLines = false;
        }
        if (!outOfOrder) {
            whole.writeBytes(begun.toByteArray());
        }
        begun.reset();
    }

    private void takeField(String text) {
        if (text.startsWith(ID)) {
            checkId(text.substring(ID.length()).trim());
        } else if (text.startsWith(DATA) && keepsData) {
            int from = text.startsWith(" ", DATA.length()) ? DATA.length() + 1 : DATA.length();
            data.writeBytes(text.substring(from).getBytes(StandardCharsets.UTF_8));
            data.write('\n');
        }
    }

    private void checkId(String text) {
        try {
            long id = Long.parseLong(text);
            outOfOrder |= lastId != Long.MIN_VALUE && id != lastId + 1;
            lastId = id;
        } catch (NumberFormatException unusual) {
            // Ids that are no numbers have no order to check; the bytes are passed on as they are.
            lastId = Long.MIN_VALUE;
        }
    }
}
