package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.ConversationReplica;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.DurableLog;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.StoreMember;
import org.parsleydrift.conversation.StoreSet;
import org.parsleydrift.kernel.Standstill;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.placement.QuotaPolicy;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.wire.NetworkLoop;
import org.parsleydrift.wire.NetworkThreads;

/** Entry nodes, three store VMs and scripted runners, over real connections and with partitions between nodes and stores. */
final class StreamFleet implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;
    /** Slots of each runner. */
    static final int SLOTS = 8;

    static final List<String> STORES = List.of("store1", "store2", "store3");

    private final NetworkThreads threads = new NetworkThreads("stream-fleet", 1);
    private final NetworkLoop loop = new NetworkLoop(threads, new SystemClock());
    private final Map<String, ReplicaCalls> calls = new ConcurrentHashMap<>();
    private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, ScriptedRunner> runners = new LinkedHashMap<>();
    private final Set<String> rejecting = ConcurrentHashMap.newKeySet();
    private final Map<String, Runner> entries = new ConcurrentHashMap<>();
    private final StoreSet storeSet = new StoreSet(
            1, STORES.stream().map(each -> new StoreMember(each, each, each)).toList(), List.of());
    private volatile CallerLimits limits = CallerLimits.defaults();
    private volatile boolean peersCutOff;
    private long revision;
    private int manifestVersion;
    private volatile List<Destination> destinations = List.of(new Destination("s", 1));

    /** One entry node. */
    final class Node {
        private final Registry registry = new Registry(loop, new Decoder());
        private final Dispatcher dispatcher;
        private final CallerServer server;
        private final Relay relay;
        private final RunnerLosses losses;
        private volatile Duration entryStaleness = Duration.ZERO;

        private Node(String name) {
            ReplicaCalls own = new ReplicaCalls(loop, new Network(name), name, request -> new CompletableFuture<>());
            calls.put(name, own);
            ConversationClient client = new ConversationClient(loop, own);
            run(() -> client.adopt(storeSet));
            dispatcher = new Dispatcher(registry, new Random(name.hashCode()), "z", loop.clock()::nanos);
            relay = new Relay(
                    threads,
                    loop,
                    registry,
                    dispatcher,
                    new Conversations(client),
                    new QuotaTracker(
                            loop.clock()::nanos,
                            new Random(3),
                            new QuotaPolicy(Duration.ofSeconds(5), 20, 0),
                            () -> true),
                    HeaderNames.defaults(),
                    new Random(name.hashCode()),
                    new SimpleMeterRegistry());
            losses = relay.losses();
            losses.setEntryStaleness(() -> entryStaleness);
            losses.publishTo((loss, connectionLost, lostRunners) ->
                    peers().forEach(each -> each.losses.recordReported(List.of(loss), connectionLost)));
            server = new CallerServer(
                    threads, loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relay, () -> limits);
            List<SharedObject> known = entries.keySet().stream()
                    .map(each -> new SharedObject(each, revision, false, new byte[0]))
                    .toList();
            run(() -> {
                registry.applyManifestChanges(List.of(new SharedObject("main", 1, false, new byte[0])));
                registry.applyRunnerChanges(known);
                losses.start(relay::resumeWaiting);
            });
        }
    }

    private final class Decoder implements ObjectDecoder {
        @Override
        public RoutingManifest decodeManifest(byte[] content) {
            return FleetManifest.create(1 + manifestVersion, destinations);
        }

        @Override
        public Runner decodeRunner(String name, byte[] content) {
            return entries.get(name);
        }
    }

    /** Delivers frames unless one end is partitioned. */
    private final class Network implements FrameSender {
        private final String from;

        private Network(String from) {
            this.from = from;
        }

        @Override
        public void send(String address, byte[] frame) {
            // What a node has sent before it dies still arrives.
            if (!partitioned.contains(from)) {
                loop.schedule(Duration.ZERO, () -> {
                    if (!partitioned.contains(address)) {
                        calls.get(address).receive(frame);
                    }
                });
            }
        }

        @Override
        public void reset(String address) {}
    }

    /** Storage that survives nothing. */
    private static final class VolatileLog implements DurableLog {
        @Override
        public void replay(Consumer<Entry> reader) {}

        @Override
        public Optional<byte[]> state() {
            return Optional.empty();
        }

        @Override
        public CompletableFuture<Void> append(List<Entry> entries) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> saveState(byte[] state) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {}
    }

    StreamFleet() {
        STORES.forEach(name -> run(() -> {
            ConversationReplica replica = new ConversationReplica(loop, new VolatileLog(), name, () -> name);
            ReplicaCalls own = new ReplicaCalls(loop, new Network(name), name, replica);
            calls.put(name, own);
            replica.start(own);
            replica.adopt(storeSet);
        }));
    }

    private Collection<Node> peers() {
        return peersCutOff ? List.of() : nodes.values();
    }

    /** Cuts the nodes off from each other, but not from the store VMs. */
    void cutOffPeers() {
        peersCutOff = true;
    }

    /** Returns the number of runners that count for works by the account of a node. */
    int countedLosses(String node) {
        AtomicInteger count = new AtomicInteger();
        run(() -> count.set(nodes.get(node).losses.latest(Integer.MAX_VALUE).size()));
        return count.get();
    }

    void addNode(String name) {
        nodes.put(name, new Node(name));
    }

    /** Begins the drain of a node that must have answered all requests after the given time. */
    void drain(String name, Duration timeLeft) {
        Node node = nodes.get(name);
        run(() -> {
            node.relay.endBy(loop.clock().nanos() + timeLeft.toNanos(), () -> nodes.size() > 1);
            node.server.drain();
        });
    }

    /** Closes the listener and the idle connections of a node, as in the second part of its drain. */
    void closeIdleConnections(String name) {
        run(nodes.get(name).server::closeIdleConnections);
    }

    /** Closes the idle connections of a node as the first thing after a time in which it stood still. */
    void closeIdleConnectionsAfter(String name, Runnable standstill) {
        run(() -> {
            standstill.run();
            nodes.get(name).server.closeIdleConnections();
        });
    }

    /** Closes the timed-out connections of a node as the first thing after a time in which it stood still. */
    void closeTimedOutConnectionsAfter(String name, Runnable standstill) {
        run(() -> {
            standstill.run();
            nodes.get(name).server.closeTimedOutConnections();
        });
    }

    /** Makes the network thread stand still for a time as it reads, so that timers become due after its last read. */
    void standStill(Duration time) throws IOException, InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        Channel listener = threads.serverBootstrap()
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        ReferenceCountUtil.release(message);
                        begun.countDown();
                        Standstill.hold(new SystemClock(), time);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort())) {
            socket.getOutputStream().write(1);
            assertTrue(begun.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
        listener.close();
    }

    /** Sets the time after which all nodes close a connection that is idle. */
    void setIdleTimeout(Duration timeout) {
        CallerLimits defaults = CallerLimits.defaults();
        limits =
                new CallerLimits(defaults.maxHeaderBytes(), defaults.maxBodyBytes(), defaults.headerTimeout(), timeout);
    }

    /** Makes a node respond to its open requests, as at the end of its drain. */
    void endRequests(String name) {
        run(nodes.get(name).server::endRequests);
    }

    /** Returns the responses that a node owes, by stage. */
    Map<ResponseStage, Long> owedResponses(String name) {
        AtomicReference<Map<ResponseStage, Long>> owed = new AtomicReference<>();
        run(() -> owed.set(nodes.get(name).relay.owedResponses().countByStage()));
        return owed.get();
    }

    /** Waits until a node owes a response of the given stage. */
    void awaitOwed(String name, ResponseStage stage) {
        long endNanos = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        while (!owedResponses(name).containsKey(stage) && loop.clock().nanos() - endNanos < 0) {
            Thread.onSpinWait();
        }
    }

    /** Waits until the network has taken all responses of a node. */
    void awaitNothingOwed(String name) {
        long endNanos = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        while (!owedResponses(name).isEmpty() && loop.clock().nanos() - endNanos < 0) {
            Thread.onSpinWait();
        }
    }

    /** Waits until a caller is connected to a node. */
    void awaitConnection(String name) {
        AtomicInteger open = new AtomicInteger();
        long endNanos = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        do {
            run(() -> open.set(nodes.get(name).server.openConnections()));
        } while (open.get() == 0 && loop.clock().nanos() - endNanos < 0);
    }

    /** Returns the port at which a node listens for callers. */
    int port(String name) {
        return nodes.get(name).server.port();
    }

    /** Stops a node without warning: neither callers nor store VMs hear from it again. */
    void kill(String name) {
        partitioned.add(name);
        nodes.remove(name).server.close();
    }

    /** Cuts a node or a store VM off from the others, or restores its links. */
    void setPartitioned(String name, boolean isPartitioned) {
        if (isPartitioned) {
            partitioned.add(name);
        } else {
            partitioned.remove(name);
        }
    }

    /** Starts a runner that streams four events, or those after the last one that the request names. */
    void addRunner(String id, String service, String version) throws IOException {
        addRunner(
                id,
                service,
                version,
                request -> rejecting.contains(id) ? ScriptedStream.reject(request) : ScriptedStream.reply(request));
    }

    /** Starts a runner that replies in a given way to requests with a target that contains the text. */
    void addFragileRunner(String id, String service, String text, String reply) throws IOException {
        Function<String, String> script =
                request -> target(request).contains(text) ? reply : ScriptedRunner.response("200 OK", request, "", "");
        addRunner(id, service, "v1", script);
    }

    /** Starts a runner with scripted responses. */
    void addRunner(String id, String service, String version, Function<String, String> script) throws IOException {
        runners.put(id, new ScriptedRunner(id, script));
        restoreRunner(id, service, version);
    }

    /** Returns the number of requests that reached runners with a target that contains the text. */
    long arrivals(String text) {
        return runners.values().stream()
                .flatMap(each -> each.requests.stream())
                .filter(each -> target(each).contains(text))
                .count();
    }

    /** Waits until a request has reached a runner with a target that contains the text. */
    void awaitArrival(String text) {
        long endNanos = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        while (arrivals(text) == 0 && loop.clock().nanos() - endNanos < 0) {
            Thread.onSpinWait();
        }
    }

    /** Returns the number of runners that requests have reached with a target that contains the text. */
    long runnersReached(String text) {
        return runners.values().stream()
                .filter(each -> each.requests.stream()
                        .anyMatch(request -> target(request).contains(text)))
                .count();
    }

    /** Returns the number of bytes of endless replies that the runners have sent. */
    long endlessBytes() {
        return runners.values().stream()
                .mapToLong(each -> each.endlessBytes.get())
                .sum();
    }

    /** Waits until the connections with endless replies are closed; returns false if some stay open. */
    boolean awaitDisconnection(String runner) throws InterruptedException {
        return runners.get(runner).disconnected.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of requests at runners by the account of a node. */
    int load(String node) {
        AtomicInteger load = new AtomicInteger();
        run(() -> load.set(nodes.get(node).dispatcher.totalLoad()));
        return load.get();
    }

    private static String target(String request) {
        return request.split(" ", 3)[1];
    }

    /** Removes the entry of a runner, which goes on serving the requests that it has. */
    void removeRunner(String id) {
        entries.remove(id);
        publish(id, true);
    }

    /** Sets the time since the nodes were last told the entries of the runners. */
    void setEntryStaleness(Duration staleness) {
        nodes.values().forEach(each -> each.entryStaleness = staleness);
    }

    /** Breaks the connections to a runner, which is back at its address at once. */
    void restartRunner(String id) throws IOException {
        runners.get(id).disconnect();
    }

    /** Puts a removed runner's entry back. */
    void restoreRunner(String id, String service, String version) {
        entries.put(
                id,
                new Runner(id, service, runners.get(id).entry().address(), "z", SLOTS, false)
                        .withSoftwareVersion(version));
        publish(id, false);
    }

    /** Changes the services of the route on all nodes. */
    void setDestinations(Destination... changed) {
        destinations = List.of(changed);
        manifestVersion++;
        nodes.values()
                .forEach(each -> run(() -> each.registry.applyManifestChanges(
                        List.of(new SharedObject("main", 1 + manifestVersion, false, new byte[0])))));
    }

    private void publish(String id, boolean deleted) {
        revision++;
        List<SharedObject> change = List.of(new SharedObject(id, revision, deleted, new byte[0]));
        nodes.values().forEach(each -> run(() -> each.registry.applyRunnerChanges(change)));
    }

    /** Returns a runner that an attempt reached; empty if it reached none. */
    Optional<String> runnerOf(String attempt) {
        return runnersOf(attempt).stream().findFirst();
    }

    /** Returns the runners that an attempt reached. */
    List<String> runnersOf(String attempt) {
        return runners.entrySet().stream()
                .filter(each -> each.getValue().requests.stream()
                        .anyMatch(request -> ScriptedRunner.header(request, "Parsleydrift-Request")
                                .equals(attempt)))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Waits until a node has at least the given number of requests in its queue. */
    void awaitQueued(String node, int atLeast) {
        AtomicInteger queued = new AtomicInteger();
        long endNanos = loop.clock().nanos() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        do {
            run(() -> queued.set(nodes.get(node).dispatcher.queueLength()));
        } while (queued.get() < atLeast && loop.clock().nanos() - endNanos < 0);
    }

    /** Makes runners reject all requests as not executed. */
    void rejectAt(String... ids) {
        rejecting.addAll(List.of(ids));
    }

    /** Sends an attempt; the headers end with a line break each. */
    Socket send(String node, String path, String attempt, String headers) throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), nodes.get(node).server.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        String text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nParsleydrift-Request: " + attempt
                + "\r\nConnection: close\r\nParsleydrift-Deadline-Ms: 5000\r\n" + headers
                + "Content-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(text.getBytes(UTF_8));
        return socket;
    }

    /** Sends an attempt and leaves after the first events; returns what was received. */
    String beginAndLeave(String node, String path, String attempt, String headers) throws IOException {
        try (Socket socket = send(node, path, attempt, headers)) {
            return readUntil(socket, "id: 2\n");
        }
    }

    /** Reads until a text has arrived or the connection has ended; returns what was received. */
    static String readUntil(Socket socket, String expected) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(expected) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Sends an attempt that takes up a stream after its second event; returns the whole response. */
    String resume(String node, String path, String attempt, String resumes, String headers) throws IOException {
        String named = resumes.isEmpty() ? "" : "Parsleydrift-Resumes: " + resumes + "\r\n";
        try (Socket socket = send(node, path, attempt, "Last-Event-Id: 2\r\n" + named + headers)) {
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    @Override
    public void close() throws IOException {
        for (ScriptedRunner each : runners.values()) {
            each.close();
        }
        nodes.values().forEach(each -> each.server.close());
        threads.close();
    }

    /** Runs a task on the loop and waits for its end. */
    void run(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            task.run();
            done.complete(null);
        });
        done.join();
    }
}
