package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.ReplicaReply;
import org.parsleydrift.conversation.ReplicaRequest;
import org.parsleydrift.conversation.StoreMember;
import org.parsleydrift.conversation.StoreSet;
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
import org.parsleydrift.registry.UpstreamService;
import org.parsleydrift.wire.NetworkLoop;
import org.parsleydrift.wire.NetworkThreads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tokens that an aborted turn charges to its program's budget. */
public class AbortedTurnTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int TOKENS_PER_EVENT = 50;
    private static final String BUDGET =
            "Parsleydrift-Program: p\r\nParsleydrift-Token-Budget: 500\r\nParsleydrift-Tokens: 10,288\r\n";
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nParsleydrift-Request: %s\r\nParsleydrift-Stamp: s\r\nContent-Length: %d\r\n\r\n%s";

    private final Map<String, Grant> grants = new HashMap<>();
    private NetworkThreads threads;
    private NetworkLoop loop;
    private Registry registry;
    private CallerServer server;
    private ScriptedRunner runner;
    private ReplicaCalls entry;
    private ReplicaCalls store;
    private boolean storeAnswersReads;
    private boolean processEnded;

    @BeforeMethod
    public void start() {
        grants.clear();
        storeAnswersReads = true;
        processEnded = false;
        threads = new NetworkThreads("relay-test", 1);
        loop = new NetworkLoop(threads, new SystemClock());
        registry = new Registry(loop, new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                return AbortedTurnTest.manifest(content.length == 0);
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                return runner.entry();
            }
        });
        entry = new ReplicaCalls(loop, senderTo(() -> store), "e", request -> new CompletableFuture<>());
        store = new ReplicaCalls(loop, senderTo(() -> entry), "s", this::handleReplicaRequest);
        ConversationClient client = new ConversationClient(loop, entry);
        client.adopt(new StoreSet(1, List.of(new StoreMember("s", "disk", "s")), List.of()));
        Relay relay = new Relay(
                threads,
                loop,
                registry,
                new Dispatcher(registry, new Random(1), "z", loop.clock()::nanos),
                new Conversations(client),
                new QuotaTracker(
                        loop.clock()::nanos, new Random(3), new QuotaPolicy(Duration.ofSeconds(5), 20, 0), () -> true),
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
        runner.close();
        server.close();
        threads.close();
    }

    private FrameSender senderTo(Supplier<ReplicaCalls> receiver) {
        return new FrameSender() {
            @Override
            public void send(String address, byte[] frame) {
                if (!processEnded) {
                    loop.schedule(Duration.ZERO, () -> receiver.get().receive(frame));
                }
            }

            @Override
            public void reset(String address) {}
        };
    }

    private CompletableFuture<ReplicaReply> handleReplicaRequest(ReplicaRequest request) {
        if (request instanceof ReplicaRequest.Read && !storeAnswersReads) {
            return new CompletableFuture<>();
        }
        return CompletableFuture.completedFuture(
                switch (request) {
                    case ReplicaRequest.Write write -> {
                        write.grants().forEach(each -> grants.merge(each.request(), each, Grant::merge));
                        yield new ReplicaReply.Written();
                    }
                    case ReplicaRequest.Read read ->
                        new ReplicaReply.Found(List.copyOf(grants.values()), List.of(), List.of());
                    default -> throw new IllegalStateException("not asked here: " + request);
                });
    }

    /** Returns a manifest with or without the service of the route. */
    private static RoutingManifest manifest(boolean withService) {
        return new RoutingManifest(
                withService ? 1 : 2,
                List.of(new Route(
                        "/turns/",
                        "h",
                        "/turns/",
                        CallKind.STREAMING,
                        Duration.ofSeconds(10),
                        Duration.ofMillis(100),
                        1,
                        0,
                        false,
                        false,
                        Duration.ofSeconds(60),
                        false,
                        List.of(new Destination("s", 1)))),
                withService ? List.of(new UpstreamService("s", 100, true, TOKENS_PER_EVENT, "")) : List.of(),
                CallerLimits.defaults());
    }

    private void serve(Function<String, String> script) throws IOException {
        runner = new ScriptedRunner("r1", script);
        loop.execute(() -> {
            registry.applyManifestChanges(List.of(new SharedObject("main", 1, false, new byte[0])));
            registry.applyRunnerChanges(List.of(new SharedObject("r1", 1, false, new byte[0])));
        });
    }

    private Socket send(String id, String headers) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        String text = "POST /turns/ HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: " + id + "\r\nConnection: close\r\n"
                + BUDGET + headers + "Content-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return socket;
    }

    private int countedTokens(String id) {
        CompletableFuture<Integer> counted = new CompletableFuture<>();
        loop.execute(() -> counted.complete(
                Optional.ofNullable(grants.get(id)).map(Grant::countedTokens).orElse(-1)));
        return counted.join();
    }

    private void awaitCounted(String id, int tokens) {
        long end = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        while (countedTokens(id) != tokens && loop.clock().nanos() - end < 0) {
            Thread.onSpinWait();
        }
        assertEquals(countedTokens(id), tokens);
    }

    /**
     * The reservation of a turn whose caller disconnects before the first event must not remain charged to the budget.
     */
    @Test
    public void turnWithoutForwardedEventsCostsNothing() throws IOException {
        serve(request -> ScriptedRunner.header(request, "Parsleydrift-Request").equals("q1")
                ? ScriptedRunner.SILENCE
                : STREAM.formatted("q2", 17, "id: 1\ndata: aa\n\n"));
        Socket first = send("q1", "");
        while (runner.requests.isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals(countedTokens("q1"), 288);
        first.close();
        awaitCounted("q1", 0);
        try (Socket second = send("q2", "")) {
            String response = new String(second.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        }
    }

    /** Guards against a reservation that stays charged, as the process ends before the store VM has granted the turn. */
    @Test
    public void turnThatHasNotBegunCostsNothingIfItsProcessEnds() throws IOException {
        serve(request -> ScriptedRunner.SILENCE);
        loop.execute(() -> storeAnswersReads = false);
        try (Socket socket = send("q1", "")) {
            awaitCounted("q1", 288);
            loop.execute(server::endRequests);
            String response = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            loop.execute(() -> processEnded = true);
            awaitCounted("q1", 0);
        }
        assertEquals(runner.requests, List.of());
    }

    /** Only the events forwarded before a stream breaks are charged. */
    @Test
    public void brokenTurnCostsForwardedEvents() throws IOException {
        serve(request -> STREAM.formatted("q1", 100, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
        try (Socket socket = send("q1", "Parsleydrift-Deadline-Ms: 700\r\n")) {
            awaitForwardedEvents(socket);
            assertEquals(countedTokens("q1"), 288);
        }
        awaitCounted("q1", 2 * TOKENS_PER_EVENT);
    }

    /** If the service of a broken stream is gone from the manifest, its full reservation must count. */
    @Test
    public void eventsOfUnknownSizeCostFullReservation() throws IOException {
        serve(request -> STREAM.formatted("q1", 100, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
        try (Socket socket = send("q1", "Parsleydrift-Deadline-Ms: 700\r\n")) {
            awaitForwardedEvents(socket);
            loop.execute(
                    () -> registry.applyManifestChanges(List.of(new SharedObject("main", 2, false, new byte[] {1}))));
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException reset) {
            // A broken stream may end with a reset or with a close.
        }
        try (Socket next = send("q2", "Parsleydrift-Deadline-Ms: 700\r\n")) {
            String response = new String(next.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(response.startsWith("HTTP/1.1 402 "), response);
        }
        assertEquals(countedTokens("q1"), 288);
    }

    private static void awaitForwardedEvents(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("data: b\n\n") < 0) {
            text.append((char) socket.getInputStream().read());
        }
    }
}
