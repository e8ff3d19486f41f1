package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses that tell of HTTP, beside those that hold the head of another response. */
public class EmbeddedHeadTest extends RunnerConnectionFixture {
    /** Guards against a body that is refused since it tells of a response to its own request, without being one. */
    @Test
    public void textOnOwnRequestIsForwarded() {
        String text = "HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\nContent-Length: 0\r\n\r\n";
        send("q1");
        receive(responseTo("q1", text + text));
        assertEquals(events, List.of("head 200", "part " + text + text, "end"));
        assertEquals(pooled, List.of(connection));
        assertEquals(irregular, List.of());
    }

    /** Guards against a second response to the same request that is not found, as its id is not all that tells it. */
    @Test(dataProvider = "secondHeads")
    public void secondResponseToOwnRequestFails(String second) {
        send("q1");
        receive(head("q1", "") + "one");
        receive(second);
        channel.close();
        assertBroken(second);
    }

    /** Heads of second responses, whole or cut short by the end of the connection. */
    @DataProvider
    public Object[][] secondHeads() {
        String id = "Parsleydrift-Request: q1\r\n";
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\n" + STAMP + id + "\r\n"},
            {"HTTP/1.1 500 Failed\r\n" + id + "Date: x\r\n" + STAMP + "\r\n"},
            {"HTTP/1.1 500 Failed\r\n" + id + "\r\n"},
            {"HTTP/1.1 200 OK\r\n" + id + STAMP},
            {"HTTP/1.1 200 OK\r\n" + id},
            {"HTTP/1.1 200 OK\r\n" + id + "Parsleydrift-St"},
        };
    }

    /** Guards against a response that fails since a value in its head tells of HTTP. */
    @Test
    public void statusLineInAHeaderValueIsForwarded() {
        send("q1");
        receive(head("q1", "Content-Length: 3\r\nUpstream: HTTP/1.1 200\r\nVia: HTTP/1.1 404 Not Found\r\n") + "one");
        assertEquals(events, List.of("head 200", "part one", "end"));
        assertEquals(pooled, List.of(connection));
    }

    /** Guards against a head that a second one continues within a value, also if one of them lacks id, stamp or length. */
    @Test(dataProvider = "continuedHeads")
    public void statusLineThatMayBeginAnotherHeadFails(String fields) {
        send("q1");
        receive("HTTP/1.1 200 OK\r\n" + fields + "\r\nbody");
        channel.close();
        assertBroken(fields);
    }

    /** Fields of heads with a status line in a value that precedes or holds the id, the stamp or the length. */
    @DataProvider
    public Object[][] continuedHeads() {
        String id = "Parsleydrift-Request: q1\r\n";
        String line = "Date: HTTP/1.1 404 Not Found\r\n";
        String length = "Content-Length: 4\r\n";
        return new Object[][] {
            {line + id + STAMP + length},
            {id + line + STAMP + length},
            {id + STAMP + line + length},
            {id + STAMP + line + "Transfer-Encoding: chunked\r\n"},
            {id + STAMP + line},
            {STAMP + length + line + id},
            {id + STAMP + length + line + id},
            {id + STAMP + length + line + STAMP},
            {id + STAMP + length + line + length},
            {id + STAMP + length + line + "Parsleydrift-Not-Executed: 1\r\n"},
            {id + length + "Parsleydrift-Stamp: sHTTP/1.1 404 Not Found\r\n"},
            {STAMP + length + "Parsleydrift-Request: q1HTTP/1.1 404 Not Found\r\n"},
        };
    }
}
