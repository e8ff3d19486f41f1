package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests at a node that ends, over real connections. */
public class DrainTest {
    private static final String NODE = "e1";
    /** Size of a response that the sockets' buffers do not hold, bytes. */
    private static final int LARGE_RESPONSE = 6 << 20;

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
}
