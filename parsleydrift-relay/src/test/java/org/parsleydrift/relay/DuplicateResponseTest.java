package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runners that respond twice to a request on one connection. */
public class DuplicateResponseTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";

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

    private static String respond(String request, String headers, String body) {
        return "HTTP/1.1 200 OK\r\nParsleydrift-Request: " + ScriptedRunner.header(request, "Parsleydrift-Request")
                + "\r\nParsleydrift-Stamp: s\r\n" + headers + "\r\n" + body;
    }

    private static String whole(String request) {
        return respond(request, "Content-Length: 5\r\n", "whole");
    }

    private String send(String path) throws IOException {
        return send(path, "q1");
    }

    private String send(String path, String id) throws IOException {
        try (Socket socket = fleet.send("a", path + "x", id, "")) {
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    /** Name, path of the request, and the reply to it, which holds two responses. */
    @DataProvider
    public static Object[][] replies() {
        return new Object[][] {
            {"without length", "/calls/", reply(each -> respond(each, "", "whole") + whole(each))},
            {
                "cut short",
                "/calls/",
                reply(each -> respond(each, "Content-Length: 90\r\n", "half") + respond(each, "", "half".repeat(50)))
            },
            {"stream", "/events/", reply(each -> respond(each, "", EVENT) + respond(each, "", EVENT))},
            {"stored stream", "/stored/", reply(each -> respond(each, "", EVENT) + respond(each, "", EVENT))},
            {
                "stream cut within an event",
                "/events/",
                reply(each -> respond(each, "", EVENT + "id: 2\n") + respond(each, "", EVENT))
            },
        };
    }

    private static UnaryOperator<String> reply(UnaryOperator<String> both) {
        return request -> ScriptedRunner.lastReply(both.apply(request));
    }

    /** Guards against a second response that is forwarded as part of the first one. */
    @Test(dataProvider = "replies")
    public void secondResponseIsNoPartOfTheFirst(String name, String path, UnaryOperator<String> reply)
            throws IOException {
        fleet.addRunner("r", "s", "v1", reply);
        String response = send(path);
        assertEquals(response.lastIndexOf("HTTP/1.1"), 0, name + ": " + response);
        assertFalse(
                response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n"),
                name + ": the response looks complete");
        assertTrue(
                response.startsWith("HTTP/1.1 502 ") || !path.equals("/calls/"),
                name + ": " + response.lines().findFirst());
        assertEquals(fleet.load("a"), 0, name + ": the slot is not given back");
    }

    /** Guards against an idempotent call that is given up, though another runner responds once. */
    @Test
    public void idempotentCallGoesToAnotherRunner() throws IOException {
        fleet.addRunner("r1", "s", "v1", reply(each -> respond(each, "", "whole") + whole(each)));
        fleet.addRunner("r2", "s", "v1", DuplicateResponseTest::whole);
        String response = send("/calls/");
        assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\nwhole"), response);
    }

    /** Guards against a success marked as not executed, which is sent to another runner after its head was forwarded. */
    @Test
    public void successMarkedAsNotExecutedMayHaveRun() throws IOException {
        fleet.addRunner("r1", "s", "v1", each -> respond(each, "Parsleydrift-Not-Executed: 1\r\n", EVENT));
        fleet.addRunner("r2", "s", "v1", each -> respond(each, "Parsleydrift-Not-Executed: 1\r\n", EVENT));
        String response = send("/events/");
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertEquals(fleet.arrivals("/events/"), 1);
    }

    /** Guards against a call that is given up after its rejection was cut short, though another runner can run it. */
    @Test
    public void rejectionCutShortIsOneAllTheSame() throws IOException {
        fleet.addRunner(
                "r1",
                "s",
                "v1",
                reply(each -> respond(each, "Parsleydrift-Not-Executed: 1\r\nContent-Length: 90\r\n", "half")
                        .replace("200 OK", "503 Full")));
        fleet.addRunner("r2", "s", "v1", DuplicateResponseTest::whole);
        for (int i = 0; i < 4; i++) {
            String response = send("/orders/", "q" + i);
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\nwhole"), response);
        }
    }

    /** Guards against the response to an earlier request with the same id, which comes late a second time. */
    @Test(dataProvider = "ids")
    public void lateResponseIsNotTakenForTheNextOne(String firstId, String secondId) throws IOException {
        AtomicInteger count = new AtomicInteger();
        fleet.addRunner("r", "s", "v1", request -> {
            String response = ScriptedRunner.response("200 OK", request, "", "body " + count.incrementAndGet());
            return ScriptedRunner.followedBy(response, response);
        });
        assertTrue(send("/calls/", firstId).endsWith("\r\n\r\nbody 1"));
        String response = send("/calls/", secondId);
        assertTrue(response.endsWith("\r\n\r\nbody 2"), response);
    }

    /** Ids of two requests, one after the other. */
    @DataProvider
    public static Object[][] ids() {
        return new Object[][] {{"q1", "q2"}, {"q1", "q1"}};
    }
}
