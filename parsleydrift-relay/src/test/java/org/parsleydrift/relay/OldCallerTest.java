package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.Locale;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Streams to callers of HTTP/1.0, which know the end of a stream by that of the connection only. */
public class OldCallerTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

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

    @DataProvider
    public static Object[][] connectionHeaders() {
        return new Object[][] {{""}, {"Connection: keep-alive\r\n"}};
    }

    private Socket send(String headers) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.port("a"));
        socket.setSoTimeout(TIMEOUT_MILLIS);
        String text = "POST /events/x HTTP/1.0\r\nHost: h\r\nParsleydrift-Request: q1\r\n"
                + "Parsleydrift-Deadline-Ms: 1000\r\nContent-Length: 2\r\n" + headers + "\r\nhi";
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return socket;
    }

    /** Guards against a complete stream that a caller of HTTP/1.0 can't read, or takes for one that was broken off. */
    @Test(dataProvider = "connectionHeaders")
    public void completeStreamEndsWithAClose(String headers) throws IOException {
        fleet.addRunner("r", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", EVENTS));
        try (Socket socket = send(headers)) {
            String response = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(response.endsWith("\r\n\r\n" + EVENTS), response);
            assertFalse(response.toLowerCase(Locale.ROOT).contains("transfer-encoding"), response);
        }
    }

    /** Guards against a stream that was broken off and looks complete, as its connection is closed like that of a whole one. */
    @Test(dataProvider = "connectionHeaders")
    public void brokenStreamEndsWithAReset(String headers) throws IOException {
        fleet.addRunner("r", "s", "v1");
        try (Socket socket = send(headers)) {
            assertTrue(StreamFleet.readUntil(socket, "data: e2\n\n").endsWith("data: e2\n\n"));
            expectThrows(
                    SocketException.class,
                    () -> assertEquals(socket.getInputStream().read(), 0));
        }
    }
}
