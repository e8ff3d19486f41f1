package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests at a node that ends, over real connections. */
public class DrainTest {
    private static final String NODE = "e1";
    /** Size of a response that the sockets' buffers do not hold, bytes. */
    private static final int LARGE_RESPONSE = 6 << 20;
    /** Size of a response that they hold, but not that of the caller alone, bytes. */
    private static final int SENDABLE_RESPONSE = 1 << 20;

    private StreamFleet fleet;

    @BeforeMethod
    public void start() {
        fleet = new StreamFleet();
        fleet.addNode(NODE);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
    }

    private static String read(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }

    private Socket connect(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.port(NODE));
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return socket;
    }

    /** Guards against responses to slow callers that are cut as the node closes its idle connections. */
    @Test
    public void responseThatIsBeingSentIsNotCut() throws Exception {
        String body = "x".repeat(LARGE_RESPONSE);
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", body));
        try (Socket order = connect("POST /orders/ HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: q1\r\n"
                + "Parsleydrift-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi")) {
            fleet.awaitOwed(NODE, ResponseStage.SENDING);
            fleet.drain(NODE);
            fleet.closeIdleConnections(NODE);
            String response = StreamFleet.readUntil(order, "\r\n\r\n");
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertEquals(new String(order.getInputStream().readNBytes(LARGE_RESPONSE), ISO_8859_1), body);
        }
    }

    /** Guards against responses that are destroyed by a reset, as the connection is closed with unread bytes of the caller. */
    @Test
    public void closingResponseArrivesBesidePipelinedRequests() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        String body = "x".repeat(SENDABLE_RESPONSE);
        fleet.addRunner("r1", "s", "v1", request -> {
            await(drained);
            return ScriptedRunner.response("200 OK", request, "", body);
        });
        String request = "POST /orders/%s HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: %s\r\n"
                + "Parsleydrift-Deadline-Ms: 5000\r\nContent-Length: 20000\r\n\r\n" + "y".repeat(20_000);
        try (Socket caller = connect(request.formatted("first", "q1"))) {
            fleet.awaitOwed(NODE, ResponseStage.AT_RUNNER);
            fleet.drain(NODE);
            for (int i = 0; i < 100; i++) {
                caller.getOutputStream()
                        .write(request.formatted("next" + i, "p" + i).getBytes(UTF_8));
            }
            drained.countDown();
            fleet.awaitNothingOwed(NODE);
            String response = read(caller);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response.substring(0, Math.min(40, response.length())));
            assertEquals(response.length() - response.indexOf("\r\n\r\n") - 4, SENDABLE_RESPONSE);
            assertEquals(fleet.arrivals("next"), 0);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
