package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.function.UnaryOperator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses of runners whose head or body never ends and holds no answer. */
public class EndlessResponseTest {
    /** Bytes that may be read before the connection is closed, with those in the buffers of both sockets. */
    private static final long MAX_BYTES = 32L << 20;

    private static final String ID = "Parsleydrift-Request: ";
    private static final String STAMP = "\r\nParsleydrift-Stamp: s\r\n";
    private static final String FILL = "z".repeat(16 << 10);

    private StreamFleet fleet;

    @BeforeMethod
    public void start() {
        fleet = new StreamFleet();
        fleet.addNode("a");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
    }

    private static String head(String request) {
        return "HTTP/1.1 200 OK\r\n" + ID + ScriptedRunner.header(request, "Parsleydrift-Request") + STAMP + "\r\n";
    }

    /** Name, path of the request, and the reply to it. */
    @DataProvider
    public static Object[][] replies() {
        return new Object[][] {
            {"status line", "/calls/", script(request -> "", FILL)},
            {"header", "/events/", script(request -> "HTTP/1.1 200 OK\r\nX: ", FILL)},
            {"headers", "/calls/", script(request -> "HTTP/1.1 200 OK\r\n", "X: y\r\n".repeat(1000))},
            {"interim heads", "/events/", script(request -> "", "HTTP/1.1 100 Continue\r\n\r\n".repeat(100))},
            {"answer to another request", "/calls/", script(request -> head("Parsleydrift-Request: other"), FILL)},
            {"body of a call", "/calls/", script(EndlessResponseTest::head, FILL)},
            {"line of a stream", "/events/", script(EndlessResponseTest::head, FILL)},
            {"lines of a stream", "/stored/", script(EndlessResponseTest::head, "zz\n".repeat(1000))},
            {"blank lines of a stream", "/events/", script(EndlessResponseTest::head, "\n".repeat(1000))},
            {"events without data", "/events/", script(EndlessResponseTest::head, "zz\n\n".repeat(1000))},
        };
    }

    private static UnaryOperator<String> script(UnaryOperator<String> begin, String repeated) {
        return request -> ScriptedRunner.endless(begin.apply(request), repeated);
    }

    /** Name and reply to a stream that sends bytes slowly. */
    @DataProvider
    public static Object[][] slowReplies() {
        UnaryOperator<String> noHead = request -> "HTTP/1.1 200 OK\r\nX: ";
        UnaryOperator<String> head = EndlessResponseTest::head;
        return new Object[][] {
            {"header", (UnaryOperator<String>) request -> ScriptedRunner.endlessAndSlow(noHead.apply(request), "z")},
            {"line", (UnaryOperator<String>) request -> ScriptedRunner.endlessAndSlow(head.apply(request), "z")},
        };
    }

    /** Guards against a request that a slow response without end holds beyond the timeout of its route. */
    @Test(dataProvider = "slowReplies")
    public void slowEndlessResponseIsEndedAtTheTimeout(String name, UnaryOperator<String> reply)
            throws IOException, InterruptedException {
        fleet.addRunner("r", "s", "v1", reply);
        String response = send("/brief/", "");
        assertFalse(response.endsWith("0\r\n\r\n"), name + ": the response looks complete");
        assertTrue(fleet.awaitDisconnection("r"), name + ": the connection stays open");
        assertEquals(fleet.load("a"), 0, name + ": the slot is not given back");
    }

    /** Guards against responses that use up the memory together, each of them within its own limit. */
    @Test
    public void bufferedResponsesHaveOneLimit() {
        ResponseBuffers buffers = new ResponseBuffers(100);
        assertTrue(buffers.reserve(60));
        assertFalse(buffers.reserve(41));
        buffers.release(60);
        assertTrue(buffers.reserve(100));
    }

    private String send(String path, String headers) throws IOException {
        try (Socket socket = fleet.send("a", path + "x", "q1", headers)) {
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    /** Guards against a stream without end that hands out more tokens than were reserved for its turn. */
    @Test
    public void endlessStreamIsEndedAtItsReservedTokens() throws IOException, InterruptedException {
        fleet.addRunner("r", "s", "v1", script(EndlessResponseTest::head, "data: e\n\n".repeat(1000)));
        int tokens = 5 * FleetManifest.TOKENS_PER_EVENT;
        String response = send(
                "/events/",
                "Parsleydrift-Program: p\r\nParsleydrift-Token-Budget: %d\r\nParsleydrift-Tokens: 10,%d\r\n"
                        .formatted(100 * tokens, tokens));
        assertEquals(response.split("data: e", -1).length - 1, 5, response);
        assertFalse(response.endsWith("0\r\n\r\n"), "the response looks complete");
        assertTrue(fleet.awaitDisconnection("r"), "the connection stays open");
        assertEquals(fleet.load("a"), 0, "the slot is not given back");
    }

    /** Guards against a stream that is cut at once, as its caller states no maximum of tokens for the turn. */
    @Test
    public void streamWithoutStatedMaximumEndsAtItsBudget() throws IOException {
        fleet.addRunner("r", "s", "v1", script(EndlessResponseTest::head, "data: e\n\n".repeat(1000)));
        int budget = 7 * FleetManifest.TOKENS_PER_EVENT;
        String response =
                send("/events/", "Parsleydrift-Program: p\r\nParsleydrift-Token-Budget: %d\r\n".formatted(budget));
        assertEquals(response.split("data: e", -1).length - 1, 7, response);
    }

    /** Guards against memory, connections and slots that are used up by bytes without end. */
    @Test(dataProvider = "replies")
    public void endlessResponseIsEnded(String name, String path, UnaryOperator<String> reply)
            throws IOException, InterruptedException {
        fleet.addRunner("r", "s", "v1", reply);
        String response = send(path, "");
        boolean streamBegun = response.startsWith("HTTP/1.1 200 ");
        assertTrue(
                streamBegun || response.startsWith("HTTP/1.1 502 "),
                name + ": " + response.lines().findFirst());
        assertFalse(streamBegun && response.endsWith("0\r\n\r\n"), name + ": the response looks complete");
        assertTrue(fleet.awaitDisconnection("r"), name + ": the connection stays open");
        assertTrue(fleet.endlessBytes() < MAX_BYTES, name + ": " + fleet.endlessBytes() + " bytes were read");
        assertEquals(fleet.load("a"), 0, name + ": the slot is not given back");
    }
}
