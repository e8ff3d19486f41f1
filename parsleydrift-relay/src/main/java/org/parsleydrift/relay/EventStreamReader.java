package org.parsleydrift.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Incremental parser of a server-sent event stream. It emits complete events only, checks that numeric event ids are
 * consecutive, counts the events and optionally collects their data.
 */
final class EventStreamReader {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream complete = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final boolean collectData;
    private final int maxEvents;
    private long lastId = Long.MIN_VALUE;
    private int eventCount;
    private int eventsWithContent;
    private int bytesSinceEvent;
    private boolean eventHasLines;
    private boolean eventHasContent;
    private boolean outOfOrder;
    private boolean beyondLimit;

    /** Creates a reader of a new stream without a limit of its events. */
    EventStreamReader(boolean collectData) {
        this(collectData, "", Integer.MAX_VALUE);
    }

    /**
     * Creates a reader of a stream that goes on after an event.
     *
     * @param collectData whether to collect the data of the events
     * @param lastEventId id of the event that precedes the first one; the empty string for a new stream
     * @param maxEvents number of events with an id or data that the stream may have; further ones are not emitted
     */
    EventStreamReader(boolean collectData, String lastEventId, int maxEvents) {
        this.collectData = collectData;
        this.maxEvents = maxEvents;
        if (!lastEventId.isEmpty()) {
            checkId(lastEventId);
        }
    }

    /** Parses the next bytes of the stream and returns the events that they complete; empty if none. */
    byte[] parse(byte[] bytes) {
        complete.reset();
        for (byte each : bytes) {
            bytesSinceEvent++;
            pending.write(each);
            if (each == '\n') {
                endLine();
            } else if (each != '\r') {
                line.write(each);
            }
        }
        return complete.toByteArray();
    }

    int eventCount() {
        return eventCount;
    }

    /** Returns whether the stream has gone on for too long without a complete event. */
    boolean isWithoutProgress() {
        return bytesSinceEvent > RelayLimits.MAX_EVENT_BYTES;
    }

    /** Returns whether the stream has more events, or more collected data, than it may have. */
    boolean isBeyondLimit() {
        return beyondLimit;
    }

    /** Returns whether the stream so far consists of complete events with consecutive ids. */
    boolean isWellFormed() {
        return pending.size() == 0 && !outOfOrder && !beyondLimit;
    }

    boolean isOutOfOrder() {
        return outOfOrder;
    }

    /** Returns the data lines of all events, each terminated by a line feed; empty unless data is collected. */
    byte[] data() {
        return data.toByteArray();
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.isEmpty()) {
            eventHasLines = true;
            parseField(text);
            return;
        }
        if (eventHasContent) {
            bytesSinceEvent = 0;
            eventsWithContent++;
            eventHasContent = false;
        }
        beyondLimit |= eventsWithContent > maxEvents || data.size() > RelayLimits.MAX_TURN_OUTPUT_BYTES;
        eventCount += eventHasLines && !beyondLimit ? 1 : 0;
        if (!outOfOrder && !beyondLimit) {
            complete.writeBytes(pending.toByteArray());
        }
        eventHasLines = false;
        pending.reset();
    }

    private void parseField(String text) {
        eventHasContent |= text.startsWith(ID) || text.startsWith(DATA);
        if (text.startsWith(ID)) {
            checkId(text.substring(ID.length()).trim());
        } else if (text.startsWith(DATA) && collectData) {
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
        } catch (NumberFormatException e) {
            // Non-numeric ids have no order to check.
            lastId = Long.MIN_VALUE;
        }
    }
}
