package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests at a node that stands still, over real connections. */
public class StandstillTest {
    private static final String NODE = "e1";
    private static final Duration DEADLINE = Duration.ofMillis(1500);

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

    /** Guards against 504 to callers, and silent runners, although the response arrived while the node stood still. */
    @Test
    public void responseThatArrivesDuringAStandstillIsForwarded() throws Exception {
        CountDownLatch standing = new CountDownLatch(1);
        fleet.addRunner("r1", "s", "v1", request -> {
            if (request.contains("late")) {
                awaitLatch(standing);
            }
            return ScriptedRunner.response("200 OK", request, "", "done");
        });
        try (Socket first = send("/orders/first", "q1")) {
            assertEquals(status(first), "200");
        }
        try (Socket late = send("/orders/late", "q2")) {
            fleet.awaitArrival("late");
            fleet.standStill(DEADLINE.plusMillis(100));
            standing.countDown();
            assertEquals(status(late), "200");
            assertEquals(fleet.countedLosses(NODE), 0);
        }
    }

    private Socket send(String target, String id) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.port(NODE));
        socket.getOutputStream()
                .write(("POST " + target + " HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: " + id
                                + "\r\nConnection: close\r\nParsleydrift-Deadline-Ms: " + DEADLINE.toMillis()
                                + "\r\nContent-Length: 2\r\n\r\nhi")
                        .getBytes(UTF_8));
        return socket;
    }

    private static String status(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), ISO_8859_1).split(" ", 3)[1];
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
