package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.registry.CallerLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Framing of callers' requests and responses. */
public class CallerConnectionTest {
    /** Path of requests that the handler fails on. */
    private static final String FAILING = "/failing/";

    private final List<CallerRequest> requests = new ArrayList<>();
    private final List<CallerResponse> responses = new ArrayList<>();
    private final OwedResponses owed = new OwedResponses(new SimpleMeterRegistry());
    private int disconnects;

    private EmbeddedChannel connect() {
        requests.clear();
        responses.clear();
        disconnects = 0;
        RequestHandler handler = (request, response) -> {
            if (request.target().startsWith(FAILING)) {
                throw new StackOverflowError("by the handler");
            }
            requests.add(request);
            responses.add(response);
            return new OpenRequest() {
                @Override
                public String id() {
                    return "r";
                }

                @Override
                public RequestStage stage() {
                    return RequestStage.ASSIGNED;
                }

                @Override
                public void handleDisconnect() {
                    disconnects++;
                }

                @Override
                public void handleProcessEnd() {}
            };
        };
        ConnectionOwner owner = new ConnectionOwner() {
            @Override
            public CallerLimits limits() {
                return CallerLimits.defaults();
            }

            @Override
            public boolean isDraining() {
                return false;
            }

            @Override
            public OwedResponses responses() {
                return owed;
            }

            @Override
            public void connectionOpened(CallerConnection connection) {}

            @Override
            public void connectionClosed(CallerConnection connection) {}
        };
        return new EmbeddedChannel(
                new StrictRequestDecoder(16384),
                new HttpResponseEncoder(),
                new CallerConnection(handler, owner, new ManualScheduler()));
    }

    private static void send(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, UTF_8));
    }

    private static String readResponse(EmbeddedChannel channel) {
        channel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(UTF_8));
        }
        return text.toString();
    }

    /** Guards against a request that ends without a response, as an error in its handling closes the connection. */
    @Test
    public void requestThatTheHandlerFailsOnGetsAResponse() {
        EmbeddedChannel channel = connect();
        int owedBefore = owed.count();
        send(channel, "POST " + FAILING + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        assertTrue(readResponse(channel).startsWith("HTTP/1.1 502 Bad Gateway\r\n"));
        assertEquals(owed.count(), owedBefore);
        send(channel, "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        assertEquals(requests.size(), 1);
    }

    @DataProvider
    Object[][] ambiguous() {
        return new Object[][] {
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"},
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
            {
                "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"
            },
            {"POST /a/ HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nHost: g\r\nContent-Length: 0\r\n\r\n"},
            {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"},
        };
    }

    /** Ambiguous framing must be rejected, since it permits request smuggling. */
    @Test(dataProvider = "ambiguous")
    public void refusesAmbiguousFraming(String text) {
        EmbeddedChannel channel = connect();
        send(channel, text + "GET /smuggled/ HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(readResponse(channel).startsWith("HTTP/1.1 400 "));
        assertEquals(requests.size(), 0);
        assertFalse(channel.isOpen());
    }

    @Test
    public void processesPipelinedRequestsInOrder() {
        EmbeddedChannel channel = connect();
        String request = "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        send(channel, request + request);
        assertEquals(requests.size(), 1);
        assertEquals(new String(requests.getFirst().body(), UTF_8), "abc");
        responses
                .getFirst()
                .sendFull(200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[] {'x'});
        assertTrue(readResponse(channel).endsWith("\r\n\r\nx"));
        assertEquals(requests.size(), 2);
        assertTrue(channel.isOpen());
    }

    /** The handler must learn that the caller has disconnected, so that it cancels the request. */
    @Test
    public void reportsDisconnectOfCaller() {
        EmbeddedChannel channel = connect();
        send(channel, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
        channel.close();
        assertEquals(disconnects, 1);
    }

    /** An aborted response must not look complete. */
    @Test
    public void abortedStreamHasNoTerminatingChunk() {
        EmbeddedChannel channel = connect();
        send(channel, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
        responses
                .getFirst()
                .beginStream(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
        responses.getFirst().sendEvents("id: 1\n\n".getBytes(UTF_8));
        responses.getFirst().abort();
        assertFalse(readResponse(channel).contains("\r\n0\r\n\r\n"));
        assertFalse(channel.isOpen());
    }

    /** Guards against chunks in a stream to a caller of HTTP/1.0, which takes their sizes for a part of the body. */
    @Test(dataProvider = "headersOfOldCallers")
    public void streamToCallerOfOldVersionEndsWithConnection(String headers) {
        EmbeddedChannel channel = connect();
        send(channel, "GET /a/ HTTP/1.0\r\nHost: h\r\n" + headers + "\r\n");
        responses
                .getFirst()
                .beginStream(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
        responses.getFirst().sendEvents("id: 1\n\n".getBytes(UTF_8));
        assertTrue(channel.isOpen());
        responses.getFirst().endStream();
        assertEquals(readResponse(channel), "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nid: 1\n\n");
        assertFalse(channel.isOpen());
    }

    /** Header lines about the connection; the end of a stream is its end in any case. */
    @DataProvider
    public Object[][] headersOfOldCallers() {
        return new Object[][] {{""}, {"Connection: close\r\n"}, {"Connection: keep-alive\r\n"}};
    }

    /** Guards against bytes after the head of a response to HEAD, which the caller takes for the next response. */
    @Test
    public void responseToHeadHasNoBody() {
        EmbeddedChannel channel = connect();
        send(channel, "HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\n".repeat(2));
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        responses.get(0).beginStream(200, headers);
        responses.get(0).sendEvents("data: a\n\n".getBytes(UTF_8));
        responses.get(0).endStream();
        assertEquals(readResponse(channel), "HTTP/1.1 200 OK\r\n\r\n");
        responses.get(1).sendFull(200, headers.copy(), new byte[0]);
        assertEquals(readResponse(channel), "HTTP/1.1 200 OK\r\n\r\n");
    }
}
