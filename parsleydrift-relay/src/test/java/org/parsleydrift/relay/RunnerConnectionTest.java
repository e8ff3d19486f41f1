package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers of runners that are late, doubled, cut or no answers at all. */
public class RunnerConnectionTest {
    private static final String STAMP = "Parsleydrift-Stamp: s\r\n";

    private final List<RunnerConnection> kept = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private RunnerConnection connection;
    private EmbeddedChannel channel;

    private final RunnerAnswer answer = new RunnerAnswer() {
        @Override
        public void head(int status, HttpHeaders headers) {
            events.add("head " + status);
        }

        @Override
        public void part(byte[] bytes) {
            events.add("part " + new String(bytes, UTF_8));
        }

        @Override
        public void end() {
            events.add("end");
        }

        @Override
        public void broken(boolean mayHaveRun, String reason) {
            events.add("broken " + mayHaveRun);
        }
    };

    @BeforeMethod
    public void connect() {
        kept.clear();
        events.clear();
        IdleConnections pool = new IdleConnections() {
            @Override
            public void idle(RunnerConnection idle) {
                kept.add(idle);
            }

            @Override
            public void closed(RunnerConnection closed) {
                kept.remove(closed);
            }
        };
        connection = new RunnerConnection(pool, "r1", HeaderNames.defaults(), new ManualScheduler());
        channel = new EmbeddedChannel(new HttpResponseDecoder(), connection);
    }

    private void ask(String id) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        connection.send(new RunnerRequest(id, "GET", "/a/", headers, new byte[0], true), answer);
    }

    private static String answerFor(String id, String body) {
        return "HTTP/1.1 200 OK\r\nParsleydrift-Request: " + id + "\r\n" + STAMP + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, UTF_8));
    }

    @Test
    public void aWholeAnswerLeavesTheConnectionForTheNextRequest() {
        ask("q1");
        receive(answerFor("q1", "one"));
        assertEquals(events, List.of("head 200", "part one", "end"));
        assertEquals(kept, List.of(connection));
    }

    /**
     * Symptom: a caller gets another caller's answer. Events: a runner answers q1 twice; the second answer arrives once
     * q2 waits on the same connection. Cause: answers are matched by their place alone.
     */
    @Test
    public void aSecondAnswerToAnEarlierRequestIsSkipped() {
        ask("q1");
        receive(answerFor("q1", "one"));
        kept.clear();
        events.clear();
        ask("q2");
        receive(answerFor("q1", "one") + answerFor("q2", "two"));
        assertEquals(events, List.of("head 200", "part two", "end"));
        assertEquals(kept, List.of());
        assertFalse(channel.isOpen());
    }

    /** Bytes that nobody asked for spoil an idle connection. */
    @Test
    public void anIdleConnectionThatSpeaksIsClosed() {
        ask("q1");
        receive(answerFor("q1", "one"));
        receive(answerFor("q1", "one"));
        assertFalse(channel.isOpen());
        assertEquals(kept, List.of());
    }

    @Test
    public void anAnswerThatIsCutIsBrokenAndMayHaveRun() {
        ask("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "Content-Length: 10\r\n\r\nhalf");
        channel.close();
        assertEquals(events, List.of("head 200", "part half", "broken true"));
    }

    @Test
    public void bytesThatAreNoAnswerBreakIt() {
        ask("q1");
        receive("garbage without any sense\r\n\r\n");
        assertEquals(events, List.of("broken true"));
        assertFalse(channel.isOpen());
    }

    /** An answer without a length is whole when its connection ends, but not when it is reset. */
    @Test
    public void anAnswerWithoutLengthEndsWithItsConnection() {
        ask("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "\r\nbody");
        channel.close();
        assertEquals(events, List.of("head 200", "part body", "end"));
        connect();
        ask("q1");
        receive("HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\n" + STAMP + "\r\nbody");
        channel.pipeline().fireExceptionCaught(new java.io.IOException("connection reset"));
        assertTrue(events.contains("broken true"));
        assertFalse(events.contains("end"));
    }

    /**
     * Symptom: a caller is given a success that no runner vouches for. Events: a runner that spoils its answers sends
     * "200" with a body on a fresh connection, but without the request's id or without its stamp. Cause: the first answer
     * on a connection was taken for the request's own if it named no other.
     */
    @Test(dataProvider = "unprovenHeads")
    public void aSuccessWithoutIdOrStampIsBroken(String head) {
        ask("q1");
        receive("HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nbody");
        assertEquals(events, List.of("broken true"));
        assertFalse(channel.isOpen());
        assertEquals(kept, List.of());
    }

    /** Heads that have lost what proves them. */
    @DataProvider
    public Object[][] unprovenHeads() {
        return new Object[][] {{""}, {STAMP}, {"Parsleydrift-Request: q1\r\n"}};
    }
}
