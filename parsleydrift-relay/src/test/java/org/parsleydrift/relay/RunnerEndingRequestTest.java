package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests under which runners end, over all attempts of their callers. */
public class RunnerEndingRequestTest {
    private static final int MAX_LOST_RUNNERS = 3;
    private static final int RUNNERS = 16;
    private static final int ATTEMPTS = 6;
    private static final List<String> NODES = List.of("a", "b", "c");
    private static final String PROGRAM = "Parsleydrift-Program: p%d\r\nParsleydrift-Session: s\r\n";
    private static final String TURN = PROGRAM + "Parsleydrift-Token-Budget: 1000\r\nParsleydrift-Tokens: 10,50\r\n";

    private StreamFleet fleet;

    @BeforeMethod
    public void start() throws IOException {
        fleet = new StreamFleet();
        NODES.forEach(fleet::addNode);
    }

    private void addRunners(String reply) throws IOException {
        for (int i = 0; i < RUNNERS; i++) {
            fleet.addFragileRunner("r" + i, "s", "deadly", reply);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
    }

    /** Path and headers of an idempotent call, of one without a program, and of a turn that may be resumed. */
    @DataProvider
    public static Object[][] kinds() {
        return new Object[][] {{"/calls/", PROGRAM}, {"/calls/", ""}, {"/events/", TURN}, {"/stored/", TURN}};
    }

    /** Sends the attempts of one caller, each to the next node; returns the responses. */
    private List<String> sendAll(String path, String headers) {
        return IntStream.range(0, ATTEMPTS)
                .mapToObj(each -> send(NODES.get(each % NODES.size()), path, "try" + each, headers))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private String send(String node, String path, String attempt, String headers) {
        try (Socket socket = fleet.send(node, path, attempt, headers)) {
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a request that ends one runner after the other, as each attempt of its caller begins anew. */
    @Test(dataProvider = "kinds")
    public void requestIsSentNoMoreAfterThreeRunnersEnded(String path, String headers) throws IOException {
        addRunners(ScriptedRunner.CRASH);
        List<String> responses = sendAll(path + "deadly", headers.formatted(1));
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS, responses.toString());
        String last = responses.getLast();
        assertTrue(last.startsWith("HTTP/1.1 503 ") && !last.contains("Retry-After"), last);
    }

    /** Guards against a request that ends one runner after the other, as those that fall silent are not counted. */
    @Test
    public void requestIsSentNoMoreAfterThreeRunnersFellSilent() throws IOException {
        addRunners(ScriptedRunner.VANISH);
        List<String> responses = sendAll("/brief/deadly", TURN.formatted(1));
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS, responses.toString());
        assertTrue(responses.getLast().startsWith("HTTP/1.1 503 "), responses.getLast());
    }

    /** Guards against the rejection of a request that takes longer than its callers wait, at runners that are well. */
    @Test
    public void requestThatRunnersOnlyDelayIsNotRejected() throws IOException {
        addRunners(ScriptedRunner.SILENCE);
        List<String> responses = sendAll("/brief/deadly", TURN.formatted(1));
        responses.addAll(sendAll("/brief/deadly", TURN.formatted(1)));
        assertEquals(fleet.arrivals("deadly"), 2 * ATTEMPTS, responses.toString());
        assertEquals(fleet.runnersReached("deadly"), MAX_LOST_RUNNERS);
    }

    /** Guards against a request that is sent again and again to runners that hang, which may have ended under it. */
    @Test
    public void requestIsNotSentAgainToRunnersThatAnswerNothing() throws IOException {
        for (int i = 0; i < RUNNERS; i++) {
            fleet.addRunner("r" + i, "s", "v1", request -> ScriptedRunner.SILENCE);
        }
        List<String> responses = sendAll("/brief/deadly", TURN.formatted(1));
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS, responses.toString());
    }

    /** Guards against a request that ends runner after runner, as its count is lost with the entry processes. */
    @Test
    public void countOutlivesAllEntryNodes() throws IOException {
        addRunners(ScriptedRunner.CRASH);
        for (int i = 0; i < ATTEMPTS; i++) {
            String node = "n" + i;
            fleet.addNode(node);
            send(node, "/events/deadly", "try" + i, TURN.formatted(1));
            fleet.kill(node);
        }
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS);
    }

    /** Guards against a request that ends runner after runner at nodes that do not hear each other's reports. */
    @Test
    public void nodesThatAreCutOffFromEachOtherShareTheCount() throws IOException {
        fleet.cutOffPeers();
        addRunners(ScriptedRunner.CRASH);
        List<String> responses = sendAll("/events/deadly", TURN.formatted(1));
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS, responses.toString());
    }

    /** Guards against turns that end a runner more at each node that has not heard of the others' losses. */
    @Test
    public void turnLearnsOfEarlierAttemptsAsItBegins() throws IOException {
        fleet.cutOffPeers();
        List<String> nodes =
                IntStream.range(0, 2 * ATTEMPTS).mapToObj(each -> "n" + each).toList();
        nodes.forEach(fleet::addNode);
        addRunners(ScriptedRunner.CRASH);
        nodes.forEach(each -> send(each, "/events/deadly", "try-" + each, TURN.formatted(1)));
        assertEquals(fleet.arrivals("deadly"), MAX_LOST_RUNNERS);
    }

    /** Guards against attempts of one moment, each of which finds the limit not reached yet. */
    @Test
    public void concurrentAttemptsDoNotExceedTheLimit() throws InterruptedException, IOException {
        addRunners(ScriptedRunner.CRASH);
        String turn = PROGRAM.formatted(1) + "Parsleydrift-Tokens: 10,50\r\n";
        send("a", "/events/deadly", "first", turn);
        // From now on only the store VMs tell the nodes of each other's attempts.
        fleet.cutOffPeers();
        List<Callable<String>> attempts = IntStream.range(0, 4 * ATTEMPTS)
                .<Callable<String>>mapToObj(
                        each -> () -> send(NODES.get(each % NODES.size()), "/events/deadly", "try" + each, turn))
                .toList();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            callers.invokeAll(attempts);
        }
        long arrivals = fleet.arrivals("deadly");
        assertTrue(arrivals <= MAX_LOST_RUNNERS, arrivals + " runners");
    }

    /** Guards against nodes that each send a request to one more runner, as they hear neither of each other nor of the store VMs. */
    @Test
    public void nodesWithoutPeersAndStoresDoNotExceedTheLimit() throws IOException {
        fleet.cutOffPeers();
        StreamFleet.STORES.forEach(each -> fleet.setPartitioned(each, true));
        addRunners(ScriptedRunner.CRASH);
        List<String> responses = NODES.stream()
                .limit(2)
                .flatMap(node -> IntStream.range(0, 2)
                        .mapToObj(each -> send(node, "/calls/deadly", "try-" + node + each, PROGRAM.formatted(1))))
                .toList();
        assertTrue(fleet.runnersReached("deadly") <= MAX_LOST_RUNNERS, responses.toString());
    }

    /** Guards against a response without length that ends within an event and is taken for an answer of the runner. */
    @Test
    public void runnerThatEndsWithinAnEventIsCounted() throws IOException {
        for (int i = 0; i < RUNNERS; i++) {
            fleet.addRunner(
                    "r" + i,
                    "s",
                    "v1",
                    request -> ScriptedRunner.lastReply("HTTP/1.1 200 OK\r\n"
                            + "Parsleydrift-Request: " + ScriptedRunner.header(request, "Parsleydrift-Request")
                            + "\r\nParsleydrift-Stamp: x\r\n\r\nid: 1\ndata: e"));
        }
        List<String> responses = sendAll("/events/deadly", TURN.formatted(1));
        assertEquals(fleet.runnersReached("deadly"), MAX_LOST_RUNNERS, responses.toString());
    }

    /** Guards against limits of a request that a later runner has completed. */
    @Test
    public void completedRequestIsNoLongerCounted() throws IOException {
        addRunners(ScriptedRunner.CRASH);
        send("a", "/events/deadly", "try0", TURN.formatted(1));
        send("b", "/events/deadly", "try1", TURN.formatted(1));
        assertEquals(fleet.countedLosses("c"), 2);
        IntStream.range(0, RUNNERS).forEach(each -> fleet.removeRunner("r" + each));
        fleet.addRunner(
                "well", "s", "v1", request -> ScriptedRunner.response("200 OK", request, "", "id: 1\ndata: e\n\n"));
        String response = send("c", "/events/deadly", "try2", TURN.formatted(1));
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertEquals(fleet.countedLosses("c"), 0);
    }
}
