package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.channel.ChannelPromise;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses that state that the request was not executed, and whose bodies are never complete. */
public class NotExecutedResponseTest extends RunnerConnectionFixture {
    /** Heads that state that q1 was not executed, and bytes of a body that is never complete. */
    @DataProvider
    public Object[][] notExecutedHeads() {
        String full = "HTTP/1.1 503 Full\r\nParsleydrift-Request: q1\r\nParsleydrift-Not-Executed: 1\r\n";
        return new Object[][] {
            {full + "\r\n"},
            {full + "\r\nfull"},
            {full + "Content-Length: 40\r\n\r\nfull"},
            {full + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n"},
            {"HTTP/1.1 421 Misdirected\r\nParsleydrift-Request: q1\r\n\r\n"},
        };
    }

    /** Guards against a request that no other runner gets, as its rejection ends before the request is written. */
    @Test(dataProvider = "notExecutedHeads")
    public void notExecutedHoldsBeforeTheRequestIsWritten(String head) {
        ChannelPromise unwritten = delayWrites();
        send("q1");
        receive(head);
        unwritten.setFailure(new IOException("connection reset"));
        channel.close();
        assertEquals(events.getLast(), "end", events.toString());
        assertEquals(pooled, List.of());
        assertEquals(irregular, List.of());
    }

    /** Guards against a request that no other runner gets, as the connection is reset behind its rejection. */
    @Test(dataProvider = "notExecutedHeads")
    public void notExecutedOutlivesAReset(String head) {
        send("q1");
        receive(head);
        channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
        assertEquals(events.getLast(), "end", events.toString());
        assertFalse(channel.isOpen());
        assertEquals(pooled, List.of());
    }

    /** Heads that do not state that q1 was not executed, or go on with a second response. */
    @DataProvider
    public Object[][] heldForExecuted() {
        String full = "HTTP/1.1 503 Full\r\nParsleydrift-Request: q1\r\nParsleydrift-Not-Executed: 1\r\n\r\n";
        return new Object[][] {
            {"HTTP/1.1 503 Full\r\nParsleydrift-Not-Executed: 1\r\n\r\n"},
            {"HTTP/1.1 503 Full\r\nParsleydrift-Request: q1\r\n\r\n"},
            {"HTTP/1.1 503 Full\r\nParsleydrift-Request: q0\r\nParsleydrift-Not-Executed: 1\r\n\r\n"},
            {"HTTP/1.1 503 Full\r\nParsleydrift-Request: q1\r\nParsleydrift-Not-Executed: 1\r\n"},
            {full + "HTTP/1.1 200 OK\r\nParsley"},
            {full + responseTo("q1", "one")},
        };
    }

    /** Guards against a second run of a request whose rejection is not certain. */
    @Test(dataProvider = "heldForExecuted")
    public void requestMayHaveRunWithoutWholeRejection(String head) {
        ChannelPromise unwritten = delayWrites();
        send("q1");
        receive(head);
        unwritten.setFailure(new IOException("connection reset"));
        channel.close();
        assertBroken(head);
        connect();
        send("q1");
        receive(head);
        channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
        assertBroken(head);
    }
}
