package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.BeforeMethod;

/** A connection to a runner without a network, and what it reports of the responses that a test lets it receive. */
abstract class RunnerConnectionFixture {
    static final String STAMP = "Parsleydrift-Stamp: s\r\n";

    final List<RunnerConnection> pooled = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    final List<IrregularResponse> irregular = new ArrayList<>();
    RunnerConnection connection;
    EmbeddedChannel channel;

    private final RunnerResponseListener listener = new RunnerResponseListener() {
        @Override
        public void onHead(int status, HttpHeaders headers) {
            events.add("head " + status);
        }

        @Override
        public void onPart(byte[] bytes) {
            events.add("part " + new String(bytes, UTF_8));
        }

        @Override
        public void onEnd() {
            events.add("end");
        }

        @Override
        public void onFailure(boolean mayHaveRun, String reason) {
            events.add("broken " + mayHaveRun);
        }

        @Override
        public void onConnectionLost(String reason) {
            onFailure(true, reason);
        }
    };

    /** Opens a new connection and forgets what the earlier one has reported. */
    @BeforeMethod
    public void connect() {
        pooled.clear();
        events.clear();
        irregular.clear();
        ConnectionPool pool = new ConnectionPool() {
            @Override
            public void release(RunnerConnection idle) {
                pooled.add(idle);
            }

            @Override
            public void remove(RunnerConnection closed) {
                pooled.remove(closed);
            }

            @Override
            public void recordIrregular(IrregularResponse kind) {
                irregular.add(kind);
            }
        };
        connection = new RunnerConnection(pool, "r1", HeaderNames.defaults(), new ManualScheduler());
        channel = new EmbeddedChannel(connection.handlers());
    }

    final void send(String id) {
        send(id, "GET");
    }

    final void send(String id, String method) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        connection.send(new RunnerRequest(id, method, "/a/", headers, List.of(), true), listener);
    }

    static String head(String id, String headers) {
        return "HTTP/1.1 200 OK\r\nParsleydrift-Request: " + id + "\r\n" + STAMP + headers + "\r\n";
    }

    /** Serves a request on the connection and forgets its events. */
    final void serve(String id) {
        send(id);
        receive(responseTo(id, "one"));
        pooled.clear();
        events.clear();
    }

    final void assertBroken(String reason) {
        assertEquals(events.getLast(), "broken true", reason + ": " + events);
        assertFalse(events.contains("end"), reason + ": " + events);
        assertFalse(channel.isOpen(), reason);
        assertEquals(pooled, List.of(), reason);
    }

    static String responseTo(String id, String body) {
        return "HTTP/1.1 200 OK\r\nParsleydrift-Request: " + id + "\r\n" + STAMP + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    final void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, UTF_8));
    }

    /** Delays all writes to the connection until the returned promise fails. */
    final ChannelPromise delayWrites() {
        ChannelPromise unwritten = channel.newPromise();
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                unwritten.addListener(done -> promise.tryFailure(done.cause()));
            }
        });
        return unwritten;
    }
}
