package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.Standstill;
import org.parsleydrift.kernel.SystemClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests at a node that ends, over real connections. */
public class DrainTest {
    private static final String NODE = "e1";
    private static final Duration LONG = Duration.ofSeconds(60);
    /** Size of a response that the sockets' buffers do not hold, bytes. */
    private static final int LARGE_RESPONSE = 6 << 20;
    /** Size of a response that they hold, but not that of the caller alone, bytes. */
    private static final int SENDABLE_RESPONSE = 1 << 20;

    private static final Duration STANDSTILL = Duration.ofMillis(300);

    private StreamFleet fleet;

    /** An action on sockets. */
    private interface SocketAction {
        void run() throws IOException;
    }

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

    /** Guards against requests at runners whose callers get no response as the process ends. */
    @Test
    public void requestAtRunnerIsAnsweredAsUnknown() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.SILENCE);
        try (Socket order = fleet.send(NODE, "/orders/", "q1", "")) {
            fleet.awaitArrival("/orders/");
            assertEquals(fleet.owedResponses(NODE), Map.of(ResponseStage.AT_RUNNER, 1L));
            fleet.drain(NODE, Duration.ZERO);
            fleet.endRequests(NODE);
            String response = read(order);
            assertTrue(response.startsWith("HTTP/1.1 502 ") && response.endsWith("\r\n\r\n"), response);
            assertEquals(fleet.owedResponses(NODE), Map.of());
        }
    }

    /** Guards against requests in the queue whose callers do not learn, as the process ends, that they have not run. */
    @Test
    public void queuedRequestIsRejectedAsNotRun() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.SILENCE);
        Socket[] atRunner = new Socket[StreamFleet.SLOTS];
        for (int i = 0; i < atRunner.length; i++) {
            atRunner[i] = fleet.send(NODE, "/orders/" + i, "a" + i, "");
            fleet.awaitArrival("/orders/" + i);
        }
        try (Socket queued = fleet.send(NODE, "/orders/queued", "q1", "")) {
            fleet.awaitQueued(NODE, 1);
            fleet.drain(NODE, Duration.ZERO);
            fleet.endRequests(NODE);
            String response = read(queued);
            assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("Retry-After: 0.0"), response);
            assertEquals(fleet.arrivals("queued"), 0);
        }
        for (Socket each : atRunner) {
            each.close();
        }
    }

    /** Guards against streams that look complete though the process has ended between two of their events. */
    @Test
    public void streamIsBrokenOffWithoutAnEnd() throws IOException {
        fleet.addRunner(
                "r1",
                "s",
                "v1",
                request -> ScriptedRunner.endlessAndSlow(
                        "HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\nParsleydrift-Stamp: s\r\n\r\nid: 1\ndata: a\n\n",
                        ":\n"));
        try (Socket stream = fleet.send(NODE, "/events/", "q1", "")) {
            assertTrue(StreamFleet.readUntil(stream, "data: a\n\n").endsWith("data: a\n\n"));
            fleet.drain(NODE, Duration.ZERO);
            fleet.endRequests(NODE);
            assertFalse(read(stream).endsWith("0\r\n\r\n"));
        }
    }

    /** Guards against requests that a node accepts though it ends before they can be answered. */
    @Test
    public void requestThatNeedsMoreTimeThanIsLeftIsRejectedAtOnce() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        fleet.addNode("e2");
        fleet.drain(NODE, Duration.ofMillis(300));
        try (Socket order = fleet.send(NODE, "/orders/late", "q1", "")) {
            String response = read(order);
            assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("Retry-After: 0.0"), response);
            assertEquals(fleet.arrivals("late"), 0);
        }
    }

    /** Guards against requests that time out early, and are reported so, as their node ends before their deadlines. */
    @Test
    public void requestDoesNotTimeOutBeforeItsDeadline() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.SILENCE);
        fleet.drain(NODE, Duration.ofMillis(800));
        try (Socket order = fleet.send(NODE, "/orders/", "q1", "")) {
            fleet.awaitArrival("/orders/");
            LockSupport.parkNanos(Duration.ofMillis(900).toNanos());
            assertEquals(fleet.owedResponses(NODE), Map.of(ResponseStage.AT_RUNNER, 1L));
            fleet.endRequests(NODE);
            assertTrue(read(order).startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against rejected callers that have nowhere to go, as no other node is ready. */
    @Test
    public void soleNodeAcceptsWhatItCanExpectToAnswer() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        fleet.drain(NODE, Duration.ofSeconds(2));
        try (Socket order = fleet.send(NODE, "/slow-orders/", "q1", "")) {
            assertTrue(read(order).startsWith("HTTP/1.1 200 "));
        }
        fleet.addNode("e2");
        try (Socket order = fleet.send(NODE, "/slow-orders/", "q2", "")) {
            assertTrue(read(order).startsWith("HTTP/1.1 503 "));
        }
    }

    /** Guards against runners that are given more time than the node has left to answer. */
    @Test
    public void runnerIsGivenTheTimeThatIsLeft() throws IOException {
        StringBuilder deadline = new StringBuilder();
        fleet.addRunner("r1", "s", "v1", request -> {
            deadline.append(ScriptedRunner.header(request, "Parsleydrift-Deadline-Ms"));
            return ScriptedRunner.response("200 OK", request, "", "done");
        });
        fleet.drain(NODE, Duration.ofMillis(2500));
        try (Socket order = fleet.send(NODE, "/orders/", "q1", "")) {
            String response = read(order);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(Integer.parseInt(deadline.toString()) <= 2500, deadline.toString());
        }
    }

    /** Guards against requests that arrive after the last responses of a drain and get none. */
    @Test
    public void requestAfterTheLastResponsesIsRejected() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        fleet.drain(NODE, Duration.ZERO);
        fleet.endRequests(NODE);
        try (Socket order = fleet.send(NODE, "/orders/", "q1", "")) {
            assertTrue(read(order).startsWith("HTTP/1.1 503 "));
        }
    }

    /** Guards against requests whose bodies are cut off by the end of the process without a response. */
    @Test
    public void incompleteRequestIsRejectedAsNotRun() throws Exception {
        try (Socket caller = connect("POST /orders/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")) {
            assertTrue(StreamFleet.readUntil(caller, "\r\n\r\n").startsWith("HTTP/1.1 100 "));
            fleet.drain(NODE, LONG);
            fleet.closeIdleConnections(NODE);
            fleet.endRequests(NODE);
            assertTrue(read(caller).startsWith("HTTP/1.1 503 "));
        }
    }

    /** Guards against responses to slow callers that are cut as the node closes its idle connections. */
    @Test
    public void responseThatIsBeingSentIsNotCut() throws Exception {
        String body = "x".repeat(LARGE_RESPONSE);
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", body));
        try (Socket order = connect("POST /orders/ HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: q1\r\n"
                + "Parsleydrift-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi")) {
            fleet.awaitOwed(NODE, ResponseStage.SENDING);
            fleet.drain(NODE, LONG);
            fleet.closeIdleConnections(NODE);
            String response = StreamFleet.readUntil(order, "\r\n\r\n");
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertEquals(new String(order.getInputStream().readNBytes(LARGE_RESPONSE), ISO_8859_1), body);
        }
    }

    /** Guards against requests that arrive as their connection is closed as idle, and get no response. */
    @Test
    public void requestThatArrivesAsIdleConnectionsCloseIsAnswered() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        try (Socket caller = connect("")) {
            fleet.awaitConnection(NODE);
            fleet.drain(NODE, LONG);
            fleet.closeIdleConnections(NODE);
            caller.getOutputStream().write(order("q1"));
            assertTrue(read(caller).startsWith("HTTP/1.1 200 "));
        }
    }

    /** Guards against requests that get no response, as they arrive while the process stands still within its drain. */
    @Test
    public void requestThatArrivesDuringAStandstillIsAnsweredInTheDrain() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        try (Socket idle = connect("")) {
            fleet.awaitConnection(NODE);
            LockSupport.parkNanos(STANDSTILL.toNanos());
            fleet.drain(NODE, LONG);
            AtomicReference<Socket> connected = new AtomicReference<>();
            fleet.closeIdleConnectionsAfter(NODE, () -> {
                standStill(() -> {
                    idle.getOutputStream().write(order("q1"));
                    connected.set(connect(new String(order("q2"), UTF_8)));
                });
            });
            assertTrue(read(idle).startsWith("HTTP/1.1 200 "));
            assertTrue(read(connected.get()).startsWith("HTTP/1.1 200 "));
            connected.get().close();
        }
    }

    /** Guards against requests that get no response, as their connection times out while the process stands still. */
    @Test
    public void requestThatArrivesDuringAStandstillIsAnsweredOnATimedOutConnection() throws IOException {
        fleet.addRunner("r1", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "done"));
        fleet.setIdleTimeout(STANDSTILL.dividedBy(2));
        try (Socket caller = connect("")) {
            fleet.awaitConnection(NODE);
            fleet.closeTimedOutConnectionsAfter(
                    NODE, () -> standStill(() -> caller.getOutputStream().write(order("q1"))));
            assertTrue(StreamFleet.readUntil(caller, "done").startsWith("HTTP/1.1 200 "));
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
        String request = "POST /orders/%s HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: %s\r\nConnection: close\r\n"
                + "Parsleydrift-Deadline-Ms: 5000\r\nContent-Length: 20000\r\n\r\n" + "y".repeat(20_000);
        try (Socket caller = connect(request.formatted("first", "q1"))) {
            fleet.awaitOwed(NODE, ResponseStage.AT_RUNNER);
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

    /** Guards against requests that a caller has sent ahead and that get no response, as their node drains. */
    @Test
    public void requestsSentAheadAreAnswered() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        fleet.addRunner("r1", "s", "v1", request -> {
            await(drained);
            return ScriptedRunner.response("200 OK", request, "", "done");
        });
        String request = "POST /orders/ HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: %s\r\n"
                + "Parsleydrift-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi";
        try (Socket caller = connect(request.formatted("q1") + request.formatted("q2"))) {
            fleet.awaitArrival("/orders/");
            fleet.drain(NODE, LONG);
            drained.countDown();
            String responses = read(caller);
            assertEquals(responses.split("HTTP/1.1 200 ", -1).length, 3, responses);
        }
    }

    private static byte[] order(String id) {
        return ("POST /orders/ HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: " + id
                        + "\r\nParsleydrift-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi")
                .getBytes(UTF_8);
    }

    /** Lets a caller send while the calling thread, which is that of the node, does nothing. */
    private static void standStill(SocketAction action) {
        try {
            action.run();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
        Standstill.hold(new SystemClock(), STANDSTILL);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
