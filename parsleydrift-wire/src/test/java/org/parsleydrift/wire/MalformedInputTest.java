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

/** Tests malformed requests and frames and stalled connections on loopback sockets. */
public class MalformedInputTest {
    /** What a receiver of frames sends on each new connection. */
    private static final int ANNOUNCEMENT = 2;

    private NetworkThreads threads;
    private HttpServer server;
    private HttpClient client;
    private String address;

    @BeforeClass
    void start() {
        threads = new NetworkThreads("test", 2);
        client = new HttpClient(threads);
        server = new HttpServer(threads, "127.0.0.1", 0, 100, exchange -> {
            if (!"/unanswered".equals(exchange.path())) {
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

    /** Guards against a malformed or oversized request that stops the server. */
    @Test
    public void malformedAndOversizedRequestsAffectNoOthers() throws IOException {
        assertTrue(sendRawRequest("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(sendRawRequest("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
                .startsWith("HTTP/1.1 413"));
        HttpClientResponse response = client.send(HttpRequestSpec.of(address, "GET", "/", Duration.ofSeconds(5)))
                .join();
        assertEquals(response.text(), "good");
    }

    /** Guards against a request that hangs on a server that never responds. */
    @Test
    public void stalledConnectionFailsAndNewOnesWork() {
        HttpRequestSpec unanswered = HttpRequestSpec.of(address, "GET", "/unanswered", Duration.ofMillis(200));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> client.send(unanswered).join());
        assertTrue(((HttpException) failure.getCause()).isPossiblySent());
        assertEquals(
                client.send(HttpRequestSpec.of(address, "GET", "/", Duration.ofSeconds(5)))
                        .join()
                        .status(),
                200);
    }

    /** Guards against a failed connection attempt being reported as a request that may have run. */
    @Test
    public void refusedConnectionIsReportedAsNotSent() {
        HttpRequestSpec unreachable = HttpRequestSpec.of("127.0.0.1:1", "GET", "/", Duration.ofSeconds(2));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> client.send(unreachable).join());
        assertFalse(((HttpException) failure.getCause()).isPossiblySent());
    }

    /** Guards against a malformed or oversized frame that affects other connections. */
    @Test
    public void malformedFramesCloseOnlyTheirConnection() throws Exception {
        LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (FrameLinks links = new FrameLinks(threads, "127.0.0.1", 0, bytes -> {
            String text = new String(bytes, StandardCharsets.UTF_8);
            if (text.startsWith("bad")) {
                throw new IllegalArgumentException("not MessagePack");
            }
            received.add(text);
        })) {
            assertEquals(sendRawFrame(links.port(), new byte[] {0, 0, 0, 3, 'b', 'a', 'd'}), -1);
            assertEquals(sendRawFrame(links.port(), new byte[] {0x7f, 0, 0, 0, 1}), -1);
            links.send("127.0.0.1:" + links.port(), "good".getBytes(StandardCharsets.UTF_8));
            assertEquals(received.poll(5, TimeUnit.SECONDS), "good");
        }
    }

    private String sendRawRequest(String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            byte[] response = new byte[64];
            int length = socket.getInputStream().read(response);
            return new String(response, 0, Math.max(0, length), StandardCharsets.UTF_8);
        }
    }

    /** Sends a frame; returns what the receiver sends after its announcement, -1 if it closes the connection. */
    private static int sendRawFrame(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(bytes);
            InputStream in = socket.getInputStream();
            assertEquals(in.read(), ANNOUNCEMENT);
            return in.read();
        }
    }
}
