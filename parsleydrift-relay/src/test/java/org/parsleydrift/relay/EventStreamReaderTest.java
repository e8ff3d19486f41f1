package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class EventStreamReaderTest {
    private static String parse(EventStreamReader reader, String text) {
        return new String(reader.parse(text.getBytes(UTF_8)), UTF_8);
    }

    @Test
    public void emitsCompleteEventsOnly() {
        EventStreamReader reader = new EventStreamReader(true);
        assertEquals(parse(reader, "id: 1\nda"), "");
        assertFalse(reader.isWellFormed());
        assertEquals(parse(reader, "ta: one\n\nid: 2\n"), "id: 1\ndata: one\n\n");
        assertEquals(parse(reader, "data: two\n\n"), "id: 2\ndata: two\n\n");
        assertTrue(reader.isWellFormed());
        assertEquals(reader.eventCount(), 2);
        assertEquals(new String(reader.data(), UTF_8), "one\ntwo\n");
    }

    /** Events after a gap in the ids must not be forwarded. */
    @Test
    public void stopsAtAGap() {
        EventStreamReader reader = new EventStreamReader(false);
        assertEquals(parse(reader, "id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
        assertEquals(parse(reader, "id: 3\ndata: c\n\n"), "");
        assertTrue(reader.isOutOfOrder());
    }

    /** Guards against a resumed stream with a gap or a repeated event where the two runs meet. */
    @Test
    public void resumedStreamFollowsItsLastEvent() {
        EventStreamReader following = new EventStreamReader(false, "2", Integer.MAX_VALUE);
        assertEquals(parse(following, "id: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
        for (String id : List.of("1", "2", "4")) {
            EventStreamReader reader = new EventStreamReader(false, "2", Integer.MAX_VALUE);
            assertEquals(parse(reader, "id: " + id + "\ndata: x\n\n"), "");
            assertTrue(reader.isOutOfOrder());
        }
    }

    /** Guards against a runner that generates more tokens than were reserved for the turn. */
    @Test
    public void eventsBeyondTheLimitAreNotEmitted() {
        EventStreamReader reader = new EventStreamReader(true, "", 2);
        assertEquals(parse(reader, "data: a\n\n: ping\n\n"), "data: a\n\n: ping\n\n");
        assertFalse(reader.isBeyondLimit());
        assertEquals(parse(reader, "data: b\n\ndata: c\n\ndata: d\n\n"), "data: b\n\n");
        assertTrue(reader.isBeyondLimit());
        assertFalse(reader.isWellFormed());
        assertEquals(reader.eventCount(), 3);
    }

    /** Guards against a stored turn whose output uses up the memory or fits no frame to the store VMs. */
    @Test
    public void collectedDataIsBounded() {
        EventStreamReader reader = new EventStreamReader(true);
        String event = "data: " + "x".repeat(RelayLimits.MAX_TURN_OUTPUT_BYTES / 2) + "\n\n";
        assertEquals(parse(reader, event), event);
        assertEquals(parse(reader, event), "");
        assertTrue(reader.isBeyondLimit());
    }

    @Test
    public void keepsUnknownFields() {
        EventStreamReader reader = new EventStreamReader(true);
        String event = "x-version: 3\nid: 7\ndata: a\n\n";
        assertEquals(parse(reader, event), event);
        assertEquals(new String(reader.data(), UTF_8), "a\n");
    }
}
