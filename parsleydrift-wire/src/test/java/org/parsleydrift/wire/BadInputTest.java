package org.parsleydrift.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Malformed requests and frames, and connections that fall silent, over real sockets on loopback. */
public class BadInputTest {
    private NetworkThreads threads;
    private HttpServer server;
    private HttpClient client;
    private String address;

    @BeforeClass
    void start() {
        threads = new NetworkThreads("test", 2);
        client = new HttpClient(threads);
        server = new HttpServer(threads, "127.0.0.1", 0, 100, exchange -> {
            if (!"/silent".equals(exchange.path())) {
                exchange.respond(200, "text/plain", "good", Map.of());
            }
        });
        address = "127.0.0.1:" + server.port();
    }

    @AfterClass
    void stop() {
        server.close();
        threads.close();
    }

    /** Symptom: one bad caller stops the server. Events: bytes that are no HTTP, a body over the limit. Cause: unguarded parsing. */
    @Test
    public void malformedAndOversizeRequestsDisturbNobody() throws IOException {
        assertTrue(raw("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(raw("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").startsWith("HTTP/1.1 413"));
        HttpClientResponse answer = client.send(HttpRequestSpec.of(address, "GET", "/", Duration.ofSeconds(5)))
                .join();
        assertEquals(answer.text(), "good");
    }

    /** Symptom: a request hangs for minutes. Events: the other side takes it and never answers. Cause: trust in TCP to tell. */
    @Test
    public void silentConnectionFailsAndNewOnesWork() {
        HttpRequestSpec silent = HttpRequestSpec.of(address, "GET", "/silent", Duration.ofMillis(200));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> client.send(silent).join());
        assertTrue(((HttpException) failure.getCause()).isPossiblySent());
        assertEquals(
                client.send(HttpRequestSpec.of(address, "GET", "/", Duration.ofSeconds(5)))
                        .join()
                        .status(),
                200);
    }

    /** Symptom: "not run" of a call that ran. Events: no connection can be made. Cause: sent and not sent look the same. */
    @Test
    public void refusedConnectionIsKnownAsNotSent() {
        HttpRequestSpec nobody = HttpRequestSpec.of("127.0.0.1:1", "GET", "/", Duration.ofSeconds(2));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> client.send(nobody).join());
        assertFalse(((HttpException) failure.getCause()).isPossiblySent());
    }

    /** Symptom: a peer's bad frame takes a node down. Events: bytes that are no MessagePack, a frame over the limit. Cause: unguarded decoding. */
    @Test
    public void badFramesCloseTheirOwnConnectionOnly() throws Exception {
        LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (FrameLinks links = new FrameLinks(threads, "127.0.0.1", 0, bytes -> {
            String text = new String(bytes, StandardCharsets.UTF_8);
            if (text.startsWith("bad")) {
                throw new IllegalArgumentException("no MessagePack");
            }
            received.add(text);
        })) {
            assertEquals(rawFrame(links.port(), new byte[] {0, 0, 0, 3, 'b', 'a', 'd'}), -1);
            assertEquals(rawFrame(links.port(), new byte[] {0x7f, 0, 0, 0, 1}), -1);
            links.send("127.0.0.1:" + links.port(), "good".getBytes(StandardCharsets.UTF_8));
            assertEquals(received.poll(5, TimeUnit.SECONDS), "good");
        }
    }

    private String raw(String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            byte[] answer = new byte[64];
            int length = socket.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, length), StandardCharsets.UTF_8);
        }
    }

    private static int rawFrame(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(bytes);
            InputStream closed = socket.getInputStream();
            return closed.read();
        }
    }
}
