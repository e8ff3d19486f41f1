package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.placement.QuotaPolicy;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.CallKind;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.wire.NetworkLoop;
import org.parsleydrift.wire.NetworkThreads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The life of a request between a caller and runners, over real connections. */
public class RelayTest {
    private static final String OK = "200 OK";
    private static final int PATIENCE_MILLIS = 20_000;

    private final Map<String, Runner> entries = new HashMap<>();
    private final List<ScriptedRunner> runners = new ArrayList<>();
    private NetworkThreads threads;
    private NetworkLoop loop;
    private Registry registry;
    private CallerServer server;

    @BeforeMethod
    public void start() {
        threads = new NetworkThreads("relay-test", 1);
        loop = new NetworkLoop(threads, new SystemClock());
        registry = new Registry(loop, new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                return RelayTest.manifest();
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                return entries.get(name);
            }
        });
        Dispatcher dispatcher = new Dispatcher(registry, new Random(1), "z", loop.clock()::nanos);
        ReplicaCalls calls = new ReplicaCalls(loop, new NoFrames(), "e", request -> new CompletableFuture<>());
        Relay relay = new Relay(
                threads,
                loop,
                registry,
                dispatcher,
                new Conversations(new ConversationClient(loop, calls)),
                new QuotaTracker(
                        loop.clock()::nanos, new Random(3), new QuotaPolicy(Duration.ofSeconds(5), 20), () -> true),
                HeaderNames.defaults(),
                new Random(2),
                new SimpleMeterRegistry());
        server = new CallerServer(
                threads,
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                relay,
                CallerLimits::defaults);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        for (ScriptedRunner each : runners) {
            each.close();
        }
        runners.clear();
        entries.clear();
        server.close();
        threads.close();
    }

    private static final class NoFrames implements FrameSender {
        @Override
        public void send(String address, byte[] frame) {}

        @Override
        public void reset(String address) {}
    }

    private static RoutingManifest manifest() {
        return new RoutingManifest(
                1,
                List.of(
                        route("/once/", CallKind.NON_IDEMPOTENT, 1, 10_000),
                        route("/twice/", CallKind.IDEMPOTENT, 2, 10_000),
                        route("/short/", CallKind.NON_IDEMPOTENT, 1, 300),
                        route("/events/", CallKind.STREAMING, 1, 10_000)),
                List.of(),
                CallerLimits.defaults());
    }

    private static Route route(String prefix, CallKind kind, int attempts, int timeoutMillis) {
        return new Route(
                prefix,
                "h",
                prefix,
                kind,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(100),
                attempts,
                0,
                false,
                false,
                Duration.ofSeconds(60),
                false,
                List.of(new Destination("s", 1)));
    }

    private ScriptedRunner runner(String id, Function<String, String> script) throws IOException {
        ScriptedRunner runner = new ScriptedRunner(id, script);
        runners.add(runner);
        know(runner.entry());
        return runner;
    }

    private void know(Runner runner) {
        entries.put(runner.id(), runner);
        loop.execute(() -> registry.applyRunnerChanges(List.of(new SharedObject(runner.id(), 1, false, new byte[0]))));
    }

    private void knowManifest() {
        loop.execute(() -> registry.applyManifestChanges(List.of(new SharedObject("main", 1, false, new byte[0]))));
    }

    private Socket send(String path, String more) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(PATIENCE_MILLIS);
        String text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: q1\r\nConnection: close\r\n"
                + more + "Content-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return socket;
    }

    private String call(String path, String more) throws IOException {
        try (Socket socket = send(path, more)) {
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    private static Function<String, String> says(String status, String more, String body) {
        return request -> ScriptedRunner.answer(status, request, more, body);
    }

    @Test
    public void theRunnersAnswerComesBackUntouched() throws IOException {
        knowManifest();
        ScriptedRunner runner = runner("r1", says("200 Fine", "Parsleydrift-Stamp: abc\r\n", "done"));
        String answer = call("/once/x?y=1", "Parsleydrift-Deadline-Ms: 5000\r\nParsleydrift-Expect-Runner: other\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(answer.contains("Parsleydrift-Stamp: abc") && answer.endsWith("\r\n\r\ndone"), answer);
        String request = runner.requests.getFirst();
        assertTrue(request.startsWith("POST /once/x?y=1 HTTP/1.1\r\n") && request.endsWith("hi"), request);
        assertEquals(ScriptedRunner.header(request, "Parsleydrift-Expect-Runner"), "r1");
        assertTrue(Integer.parseInt(ScriptedRunner.header(request, "Parsleydrift-Deadline-Ms")) <= 5000);
    }

    /**
     * Callers were told "no such route" of a route that the operators had added, and gave up: nobody tries again after
     * that answer. The platform was silent, so the node could not know whether its manifest was still the newest; the
     * refusal was judged by it all the same: two nodes said so 2.7 and 2.8 s after the route was acknowledged.
     */
    @Test
    public void noRouteIsSaidOnlyUnderAManifestThatIsKnownToBeTheNewest() throws IOException {
        knowManifest();
        loop.execute(() -> registry.setManifestCurrent(false));
        String unsure = call("/added/", "Parsleydrift-Deadline-Ms: 5000\r\n");
        assertTrue(
                unsure.startsWith("HTTP/1.1 503 ")
                        && unsure.toLowerCase(Locale.ROOT).contains("retry-after"),
                unsure);
        loop.execute(() -> registry.setManifestCurrent(true));
        String sure = call("/added/", "Parsleydrift-Deadline-Ms: 5000\r\n");
        assertTrue(sure.startsWith("HTTP/1.1 404 "), sure);
    }

    /**
     * Symptom: callers use up their tries at a node that starts. Events: a request comes before the first manifest.
     * Cause: a refusal at once, though the manifest is a fraction of a second away.
     */
    @Test
    public void aRequestWaitsForTheFirstManifest() throws IOException {
        runner("r1", says(OK, "", "done"));
        try (Socket socket = send("/once/", "Parsleydrift-Deadline-Ms: 60000\r\n")) {
            while (openRequests() == 0) {
                Thread.onSpinWait();
            }
            knowManifest();
            String answer = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    private int openRequests() {
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.execute(() -> open.complete(server.openConnections()));
        return open.join();
    }

    /** A runner's word that it has not run a request brings it back to "not run", whatever the route. */
    @Test
    public void notExecutedGoesToAnotherRunner() throws IOException {
        knowManifest();
        Function<String, String> full = says("503 Full", "Parsleydrift-Not-Executed: 1\r\n", "");
        ScriptedRunner first = runner("r1", full);
        ScriptedRunner second = runner("r2", full);
        String refused = call("/once/", "");
        assertTrue(refused.startsWith("HTTP/1.1 503 ") && refused.contains("Retry-After: "), refused);
        assertEquals(first.requests.size() + second.requests.size(), 2);
        runner("r3", says(OK, "", "done"));
        assertTrue(call("/once/", "").startsWith("HTTP/1.1 200 "));
    }

    /**
     * Symptom: a call that must not repeat runs twice, or is said not to have run. Events: the runner has read the request
     * and resets the connection. Cause: a reset taken for "not run".
     */
    @Test
    public void aResetAfterSendingIsUnknown() throws IOException {
        knowManifest();
        ScriptedRunner first = runner("r1", request -> ScriptedRunner.RESET);
        ScriptedRunner second = runner("r2", request -> ScriptedRunner.RESET);
        assertTrue(call("/once/", "").startsWith("HTTP/1.1 502 "));
        assertEquals(first.requests.size() + second.requests.size(), 1);
    }

    /** A 503 without the runner's word promises what the runner did not promise. */
    @Test
    public void aBusyAnswerWithoutTheWordIsUnknown() throws IOException {
        knowManifest();
        runner("r1", says("503 Busy", "Parsleydrift-Stamp: abc\r\n", ""));
        String answer = call("/once/", "");
        assertTrue(answer.startsWith("HTTP/1.1 502 ") && !answer.contains("Stamp"), answer);
    }

    @Test
    public void anIdempotentRequestIsSentAgainWithinItsAttempts() throws IOException {
        knowManifest();
        ScriptedRunner first = runner("r1", request -> ScriptedRunner.RESET);
        ScriptedRunner second = runner("r2", request -> ScriptedRunner.RESET);
        ScriptedRunner third = runner("r3", request -> ScriptedRunner.RESET);
        assertTrue(call("/twice/", "").startsWith("HTTP/1.1 502 "));
        assertEquals(first.requests.size() + second.requests.size() + third.requests.size(), 2);
    }

    /**
     * Symptom: a program fails though its call may be repeated. Events: a runner takes an idempotent call and its answer
     * is lost; the call waits for its whole time. Cause: silence was never taken for a lost answer.
     */
    @Test
    public void anIdempotentCallWhoseAnswerIsLostGoesToAnotherRunner() throws Exception {
        knowManifest();
        AtomicInteger calls = new AtomicInteger();
        Function<String, String> losesTheFirst = request ->
                calls.getAndIncrement() == 0 ? ScriptedRunner.SILENCE : ScriptedRunner.answer(OK, request, "", "done");
        ScriptedRunner first = runner("r1", losesTheFirst);
        ScriptedRunner second = runner("r2", losesTheFirst);
        assertTrue(call("/twice/", "").startsWith("HTTP/1.1 200 "));
        assertEquals(first.requests.size(), 1);
        assertEquals(second.requests.size(), 1);
    }

    /** A silent runner may be at work on a call that must not repeat: it is waited for. */
    @Test
    public void aCallThatMustNotRepeatIsNotSentAgainForSilence() throws Exception {
        knowManifest();
        ScriptedRunner first = runner("r1", request -> ScriptedRunner.SILENCE);
        ScriptedRunner second = runner("r2", request -> ScriptedRunner.SILENCE);
        assertTrue(call("/short/", "").startsWith("HTTP/1.1 504 "));
        assertEquals(first.requests.size() + second.requests.size(), 1);
    }

    /**
     * Symptom: "not run" of a call that one runner has had. Events: the first runner resets after sending, the second
     * says that it has not run it. Cause: the second runner's word was taken for both.
     */
    @Test
    public void notExecutedByTheSecondRunnerDoesNotSpeakForTheFirst() throws IOException {
        knowManifest();
        AtomicInteger calls = new AtomicInteger();
        Function<String, String> script = request -> calls.getAndIncrement() == 0
                ? ScriptedRunner.RESET
                : ScriptedRunner.answer("503 Full", request, "Parsleydrift-Not-Executed: 1\r\n", "");
        runner("r1", script);
        runner("r2", script);
        String answer = call("/twice/", "");
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
        assertEquals(calls.get(), 2);
    }

    @Test
    public void aRunnerThatCannotBeReachedCostsNoAttempt() throws IOException {
        knowManifest();
        ScriptedRunner gone = new ScriptedRunner("r0", says(OK, "", ""));
        gone.close();
        know(gone.entry());
        runner("r1", says(OK, "", "done"));
        for (int i = 0; i < 4; i++) {
            assertTrue(call("/once/", "").startsWith("HTTP/1.1 200 "));
        }
    }

    /** At the route's timeout the answer is final and the runner is told to stop. */
    @Test
    public void theRoutesTimeoutEndsTheRequest() throws Exception {
        knowManifest();
        ScriptedRunner runner = runner("r1", request -> ScriptedRunner.SILENCE);
        assertTrue(call("/short/", "").startsWith("HTTP/1.1 504 "));
        assertTrue(runner.left.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Symptom: a runner works on for nobody. Events: the caller leaves while the runner works. */
    @Test
    public void aCallerThatLeavesStopsTheRunner() throws Exception {
        knowManifest();
        ScriptedRunner runner = runner("r1", request -> ScriptedRunner.SILENCE);
        Socket socket = send("/once/", "");
        while (runner.requests.isEmpty()) {
            Thread.onSpinWait();
        }
        socket.close();
        assertTrue(runner.left.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** A stream that breaks off has no end that looks like one, and no part of an event. */
    @Test
    public void aStreamThatBreaksOffLooksBroken() throws IOException {
        knowManifest();
        runner(
                "r1",
                request ->
                        "HTTP/1.1 200 OK\r\nParsleydrift-Request: q1\r\nParsleydrift-Stamp: s\r\nContent-Length: 100\r\n"
                                + "Connection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\nda");
        try (Socket socket = send("/events/", "Parsleydrift-Deadline-Ms: 700\r\n")) {
            StringBuilder text = new StringBuilder();
            try {
                for (int next = socket.getInputStream().read();
                        next >= 0;
                        next = socket.getInputStream().read()) {
                    text.append((char) next);
                }
            } catch (IOException reset) {
                text.append("(reset)");
            }
            assertTrue(text.toString().contains("data: a"), text.toString());
            assertTrue(!text.toString().contains("id: 2") && !text.toString().contains("\r\n0\r\n"), text.toString());
        }
    }
}
