package org.parsleydrift.wire;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Connections that the server closes while their caller still sends. */
public class HttpServerTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int MAX_CONNECTIONS = 2;
    /** More than the buffers of both sockets hold, bytes. */
    private static final int AHEAD = 16 << 20;

    private final Queue<String> handled = new ConcurrentLinkedQueue<>();
    private CountDownLatch released;
    private NetworkThreads threads;
    private HttpServer server;

    @BeforeMethod
    public void start() {
        handled.clear();
        released = new CountDownLatch(1);
        threads = new NetworkThreads("http-server-test", 1);
        server = new HttpServer(threads, "127.0.0.1", 0, MAX_CONNECTIONS, this::handle);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        released.countDown();
        server.abort();
        threads.close();
    }

    /** Responds once the test permits it, on a thread that is not the connection's. */
    private void handle(HttpExchange exchange) {
        handled.add(exchange.path());
        Thread thread = new Thread(
                () -> {
                    await(released);
                    exchange.respond(200, "text/plain", "good", Map.of());
                },
                "handler");
        thread.setDaemon(true);
        thread.start();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }

    /** Requests that are rejected before the caller has sent all of its bytes. */
    @DataProvider
    public static Object[][] rejectedRequests() {
        return new Object[][] {
            {400, "nonsense\r\n\r\n"},
            {
                413,
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(AHEAD) + "\r\n"
            },
            {413, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + AHEAD + "\r\n\r\n"},
            {413, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + AHEAD + "\r\n\r\n"},
        };
    }

    /** Guards against a reset that destroys the rejection of a request, as the connection is closed with unread bytes. */
    @Test(dataProvider = "rejectedRequests")
    public void rejectionArrivesWhileTheCallerStillSends(int status, String start) throws IOException {
        try (Socket caller = connect()) {
            send(caller, start + "x".repeat(AHEAD));
            assertTrue(readAll(caller).startsWith("HTTP/1.1 " + status + " "));
        }
    }

    /** Guards against a reset that destroys the rejection of a connection above the limit. */
    @Test
    public void rejectionAboveTheLimitArrivesWhileTheCallerStillSends() throws IOException {
        try (Socket first = connect();
                Socket second = connect();
                Socket third = connect()) {
            for (Socket each : new Socket[] {first, second}) {
                send(each, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
            }
            send(third, "GET /rejected HTTP/1.1\r\nHost: h\r\n\r\n" + "x".repeat(AHEAD));
            String response = readAll(third);
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
        }
    }

    /** Guards against connections that a caller keeps open after the last response. */
    @Test
    public void connectionEndsAlthoughTheCallerKeepsItOpen() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "nonsense\r\n\r\n");
            assertTrue(readAll(caller).startsWith("HTTP/1.1 400 "));
            for (int waited = 0; server.connections() > 0 && waited < TIMEOUT_MILLIS; waited += 10) {
                Thread.sleep(10);
            }
            assertEquals(server.connections(), 0);
        }
    }

    /** Guards against a request whose response is cut, because the caller has sent the next one ahead. */
    @Test
    public void requestSentAheadDoesNotCutTheResponse() throws Exception {
        try (Socket caller = connect()) {
            send(
                    caller,
                    "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
                            + "GET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            while (handled.isEmpty()) {
                Thread.sleep(1);
            }
            // Runs once both requests are read.
            threads.group().submit(() -> {}).sync();
            released.countDown();
            List<String> responses = List.of(readAll(caller).split("(?=HTTP/1.1 200 )"));
            assertEquals(responses.size(), 2, responses.toString());
            assertTrue(responses.stream().allMatch(each -> each.endsWith("\r\n\r\ngood")), responses.toString());
        }
        assertEquals(List.copyOf(handled), List.of("/first", "/second"));
    }
}
