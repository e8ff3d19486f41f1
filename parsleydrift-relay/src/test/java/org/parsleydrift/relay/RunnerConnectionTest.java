package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ChannelPromise;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Handling of late, duplicate, truncated and malformed responses of runners. */
public class RunnerConnectionTest extends RunnerConnectionFixture {
    @Test
    public void completeResponseReturnsConnectionToPool() {
        send("q1");
        receive(responseTo("q1", "one"));
        assertEquals(events, List.of("head 200", "part one", "end"));
        assertEquals(pooled, List.of(connection));
    }

    /** A duplicate response to an earlier request must not be taken for that of the current one. */
    @Test
    public void duplicateResponseIsSkipped() {
        send("q1");
        receive(responseTo("q1", "one"));
        pooled.clear();
        events.clear();
        send("q2");
        receive(responseTo("q1", "one") + responseTo("q2", "two"));
        assertEquals(events, List.of("head 200", "part two", "end"));
        assertEquals(pooled, List.of());
        assertFalse(channel.isOpen());
    }

    /** An unsolicited response closes an idle connection. */
    @Test
    public void unsolicitedResponseClosesConnection() {
        send("q1");
        receive(responseTo("q1", "one"));
        receive(responseTo("q1", "one"));
        assertFalse(channel.isOpen());
        assertEquals(pooled, List.of());
    }

    /** Guards against bytes of a faulty runner that no metric counts. */
    @Test
    public void irregularResponsesAreCounted() {
        send("q1");
        receive(responseTo("q0", "none") + responseTo("q1", "one"));
        assertEquals(irregular, List.of(IrregularResponse.OTHER_REQUEST));
        connect();
        receive(responseTo("q1", "one"));
        assertEquals(irregular, List.of(IrregularResponse.UNSOLICITED));
        connect();
        send("q1");
        receive("garbage without any sense\r\n\r\n");
        assertEquals(irregular, List.of(IrregularResponse.MALFORMED));
        connect();
        send("q1");
        receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(irregular, List.of(IrregularResponse.UNAUTHENTICATED));
    }

    @Test
    public void truncatedResponseMayHaveRun() {
        send("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "Content-Length: 10\r\n\r\nhalf");
        channel.close();
        assertEquals(events, List.of("head 200", "part half", "broken true"));
    }

    @Test
    public void malformedResponseFails() {
        send("q1");
        receive("garbage without any sense\r\n\r\n");
        assertEquals(events, List.of("broken true"));
        assertFalse(channel.isOpen());
    }

    /** A response without a length is complete when its connection is closed, but not when it is reset. */
    @Test
    public void responseWithoutLengthEndsWithConnection() {
        send("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "\r\nbody");
        channel.close();
        assertEquals(events, List.of("head 200", "part body", "end"));
        connect();
        send("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "\r\nbody");
        channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
        assertTrue(events.contains("broken true"));
        assertFalse(events.contains("end"));
    }

    /** A success response without request id or stamp must not be forwarded, even as the first one on a connection. */
    @Test(dataProvider = "unauthenticatedHeads")
    public void successWithoutIdOrStampFails(String head) {
        send("q1");
        receive("HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nbody");
        assertEquals(events, List.of("broken true"));
        assertFalse(channel.isOpen());
        assertEquals(pooled, List.of());
    }

    /** Response heads without request id, stamp or both. */
    @DataProvider
    public Object[][] unauthenticatedHeads() {
        return new Object[][] {{""}, {STAMP}, {"Parsleydrift-Request: q1\r\n"}};
    }

    /** Guards against bytes after a response that are joined with the response to the next request. */
    @Test(dataProvider = "bytesAfterResponse")
    public void connectionWithLeftoverBytesIsNotReused(String bytes) {
        send("q1");
        receive(responseTo("q1", "one") + bytes);
        assertEquals(events, List.of("head 200", "part one", "end"));
        assertEquals(pooled, List.of());
        assertFalse(channel.isOpen());
        assertEquals(irregular, List.of(IrregularResponse.UNSOLICITED));
        connect();
        send("q1");
        receive(responseTo("q1", "one"));
        receive(bytes);
        assertEquals(pooled, List.of());
        assertFalse(connection.isAvailable());
    }

    /** Bytes that are no whole line, and the beginning of a second response. */
    @DataProvider
    public Object[][] bytesAfterResponse() {
        return new Object[][] {{"x"}, {"HTTP/1.1 200 OK"}, {"HTTP/1.1 200 OK\r\nDate: Mon"}};
    }

    /** Guards against a response that takes its status from the head of an earlier one that was cut short. */
    @Test(dataProvider = "cutHeads")
    public void headJoinedWithAnEarlierOneFails(String cut) {
        serve("q1");
        send("q2");
        receive(cut);
        receive("HTTP/1.1 404 Not Found\r\nDate: x\r\n" + STAMP
                + "Parsleydrift-Request: q2\r\nContent-Length: 4\r\n\r\nnone");
        assertBroken(cut);
    }

    /** Beginnings of the head of a second response to the request before. */
    @DataProvider
    public Object[][] cutHeads() {
        return new Object[][] {
            {"x"},
            {"H"},
            {"HTTP/1.1"},
            {"HTTP/1.1 200 "},
            {"HTTP/1.1 200 O"},
            {"HTTP/1.1 200 OK\r"},
            {"HTTP/1.1 200 OK\r\n"},
            {"HTTP/1.1 200 OK\r\nDa"},
            {"HTTP/1.1 200 OK\r\nDate: Mon"},
            {"HTTP/1.1 200 OK\r\nDate: Mon\r\n"},
            {"HTTP/1.1 200 OK\r\nParsleydrift-Stamp: s"},
            {"HTTP/1.1 200 OK\r\nParsleydrift-Request: q1"},
            {"HTTP/1.1 503 Full\r\nParsleydrift-Not-Executed: 1"},
        };
    }

    /** Guards against a success whose head permits more than one reading. */
    @Test(dataProvider = "ambiguousHeads")
    public void ambiguousHeadFails(String head) {
        send("q1");
        receive(head + "\r\n4\r\nbody\r\n0\r\n\r\n");
        assertBroken(head);
    }

    /** Heads with two ids, two stamps, ambiguous framing, another protocol or a status out of range. */
    @DataProvider
    public Object[][] ambiguousHeads() {
        String id = "Parsleydrift-Request: q1\r\n";
        String ok = "HTTP/1.1 200 OK\r\n" + id + STAMP;
        return new Object[][] {
            {ok + "Parsleydrift-Request: q2\r\nTransfer-Encoding: chunked\r\n"},
            {ok + "Parsleydrift-Stamp: t\r\nTransfer-Encoding: chunked\r\n"},
            {ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
            {ok + "Content-Length: 4\r\nContent-Length: 5\r\n"},
            {ok + "Content-Length: 4x\r\n"},
            {ok + "Transfer-Encoding: gzip, chunked\r\n"},
            {ok + "Transfer-Encoding: identity\r\n"},
            {ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
            {ok + "Parsleydrift-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"},
            {"HTTP/2.0 200 OK\r\n" + id + STAMP + "Transfer-Encoding: chunked\r\n"},
            {"XHTTP/1.1 200 OK\r\n" + id + STAMP + "Transfer-Encoding: chunked\r\n"},
            {"HTTP/1.1 20 OK\r\n" + id + STAMP + "Transfer-Encoding: chunked\r\n"},
            {"HTTP/1.1 2000 OK\r\n" + id + STAMP + "Transfer-Encoding: chunked\r\n"},
            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + id + STAMP},
        };
    }

    /** Interim responses precede the response and are not part of it. */
    @Test
    public void interimResponsesAreSkipped() {
        send("q1");
        receive("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + responseTo("q1", "one"));
        assertEquals(events, List.of("head 200", "part one", "end"));
    }

    /** Guards against a second response within a body or stream, which makes it another than the runner's. */
    @Test(dataProvider = "bodiesWithResponses")
    public void responseWithinBodyFails(String first, String second) {
        serve("q1");
        send("q2");
        receive(first);
        receive(second);
        channel.close();
        assertBroken(first + second);
    }

    /** First and second part of what is received; the first one ends where the first response was cut short. */
    @DataProvider
    public Object[][] bodiesWithResponses() {
        String whole = responseTo("q2", "two and more");
        String late = responseTo("q1", "one");
        String cut = head("q2", "Content-Length: 30\r\n") + "half";
        String event = "id: 1\ndata: a\n\n";
        return new Object[][] {
            {head("q2", "") + "two", whole},
            {head("q2", "") + "two HTTP/1.1 200 HT", whole},
            {head("q2", "") + "two", late + "more"},
            {head("q2", "Content-Length: 400\r\n") + "half", whole + "x".repeat(400)},
            {cut, whole},
            {cut, late + "x".repeat(300)},
            {head("q2", "Content-Length: 5\r\n") + "half", whole},
            {head("q2", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n", late + "0\r\n\r\n"},
            {head("q2", "Transfer-Encoding: chunked\r\n") + "99\r\nhalf", late + "x".repeat(300)},
            {head("q2", "") + event, late + "id: 2\ndata: b\n\n"},
        };
    }

    /** A body may tell of HTTP responses, as long as it does not contain one of this connection. */
    @Test
    public void textOnResponsesIsForwarded() {
        serve("q1");
        String text = "HTTP/1.1 200 OK\r\nParsleydrift-Request: q7\r\n\r\nHTTP/1.1 200 OK";
        send("q2");
        receive(responseTo("q2", text));
        assertEquals(events, List.of("head 200", "part " + text, "end"));
        assertEquals(pooled, List.of(connection));
    }

    /** Guards against a response to HEAD whose body is awaited, or taken from the bytes after it. */
    @Test
    public void responseToHeadHasNoBody() {
        send("q1", "HEAD");
        receive(head("q1", "Content-Length: 400\r\n"));
        assertEquals(events, List.of("head 200", "end"));
        connect();
        events.clear();
        send("q1", "HEAD");
        receive(head("q1", "Transfer-Encoding: chunked\r\n"));
        assertEquals(events, List.of("head 200", "end"));
    }

    /** Guards against a partial response that looks complete since a failed write consumed the reset. */
    @Test
    public void endBeforeRequestIsWrittenIsNoEndOfResponse() {
        ChannelPromise unwritten = delayWrites();
        send("q1");
        receive(head("q1", "") + "half");
        unwritten.setFailure(new IOException("connection reset"));
        channel.close();
        assertBroken("request not written");
    }

    /** Guards against a request that waits for its response, which another one has swallowed, until its deadline. */
    @Test
    public void responseSwallowedByAnotherOneFailsAtOnce() {
        serve("q1");
        send("q2");
        receive(head("q1", "Content-Length: 400\r\n") + "half");
        receive(responseTo("q2", "two"));
        assertBroken("swallowed");
    }
}
