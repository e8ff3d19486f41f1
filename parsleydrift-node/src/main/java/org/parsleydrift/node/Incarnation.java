package org.parsleydrift.node;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import net.openhft.hashing.LongHashFunction;
import org.parsleydrift.journal.JournalOptions;
import org.parsleydrift.journal.JournalReader;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.node.caller.OwnerRoutes;
import org.parsleydrift.node.host.JournalCompactor;
import org.parsleydrift.node.host.ProgramHost;
import org.parsleydrift.node.host.Upstreams;
import org.parsleydrift.node.manifest.ManifestManager;
import org.parsleydrift.node.membership.FailureDetector;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.node.ownership.OwnerDirectory;
import org.parsleydrift.node.ownership.Takeover;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * One incarnation of a node: a unique name, a journal, and the programs recorded in it. It ends with the process or
 * when another node seals its journal; the process then starts the next incarnation. Confined to the node's event loop.
 */
final class Incarnation {
    private static final Logger LOG = System.getLogger(Incarnation.class.getName());
    private static final int SEGMENT_BYTES = 768 * 1024;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MANIFEST_CHECK_INTERVAL = Duration.ofMillis(50);

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings settings;
    private final String name;
    private final ManifestManager manifest;
    private final Consumer<NodeRecord> onSealed;
    private final Runnable onTerminated;
    private final NodeRegistry registry;
    private final OwnerDirectory directory;
    private final JournalWriter journal;
    private final JournalReader reader;
    private final ProgramHost host;
    private final Takeover takeover;
    private final JournalCompactor compactor;
    private FailureDetector detector;
    private boolean registered;
    private boolean draining;
    private boolean terminated;
    private boolean handedOver;

    /**
     * Creates the incarnation and starts its registration.
     *
     * @param onSealed called with the record of each other node whose journal has been sealed
     * @param onTerminated called once, after this incarnation has lost its journal without draining
     */
    Incarnation(
            NodeEnvironment environment,
            NodeSettings settings,
            String name,
            ManifestManager manifest,
            Upstreams upstreams,
            Consumer<NodeRecord> onSealed,
            Runnable onTerminated) {
        this.environment = environment;
        this.loop = environment.loop();
        this.settings = settings;
        this.name = name;
        this.manifest = manifest;
        this.onSealed = onSealed;
        this.onTerminated = onTerminated;
        NodeSettings.Timings timings = settings.timings();
        JournalOptions options =
                new JournalOptions(timings.commitInterval(), timings.platformTimeout(), RETRY_DELAY, SEGMENT_BYTES);
        this.registry = new NodeRegistry(environment, timings, this::handleRecordChange);
        this.directory = new OwnerDirectory(name, registry);
        this.journal = new JournalWriter(loop, environment.store(), name, options, fenced -> terminate());
        this.reader = new JournalReader(loop, environment.store(), options);
        this.host = new ProgramHost(environment, timings, journal, manifest, upstreams);
        this.takeover = new Takeover(loop, name, reader, registry, directory, host, clusterView());
        this.compactor = new JournalCompactor(environment, name, journal, host);
        register();
    }

    private Takeover.ClusterView clusterView() {
        return new Takeover.ClusterView(
                () -> acceptingNodes().stream().map(NodeRecord::incarnation).toList(),
                this::isResponsibleFor,
                this::broadcastRegistryChange);
    }

    String name() {
        return name;
    }

    ProgramHost host() {
        return host;
    }

    OwnerDirectory directory() {
        return directory;
    }

    NodeRegistry registry() {
        return registry;
    }

    JournalWriter journal() {
        return journal;
    }

    boolean isActive() {
        return registered && !terminated;
    }

    OwnerRoutes routes() {
        return new OwnerRoutes(
                name,
                directory,
                host,
                registry,
                this::send,
                record -> environment.links().reset(record.link()));
    }

    /** Returns the other nodes whose journals are not sealed. */
    List<NodeRecord> peers() {
        return registry.records().values().stream()
                .filter(record ->
                        !record.hasSealedJournal() && !record.incarnation().equals(name))
                .toList();
    }

    /** Returns the live nodes that accept new work, including this one unless it is draining. */
    List<NodeRecord> acceptingNodes() {
        return registry.records().values().stream()
                .filter(record -> !record.hasSealedJournal()
                        && !record.draining()
                        && (detector == null || detector.isAlive(record.incarnation())))
                .filter(record -> !draining || !record.incarnation().equals(name))
                .sorted(java.util.Comparator.comparing(NodeRecord::incarnation))
                .toList();
    }

    boolean isAlive(String incarnation) {
        return detector != null && detector.isAlive(incarnation);
    }

    boolean isWatchedAndAlive(String incarnation) {
        return detector != null && detector.isWatching(incarnation) && detector.isAlive(incarnation);
    }

    void send(NodeRecord to, PeerMessage message) {
        environment.links().send(to.link(), new PeerEnvelope(name, settings.link(), to.incarnation(), message));
    }

    void broadcast(PeerMessage message) {
        peers().forEach(peer -> send(peer, message));
    }

    void recordHeartbeat(String peer) {
        if (detector != null) {
            detector.recordHeartbeat(peer);
        }
    }

    void recordProbeAnswer(String suspect) {
        if (detector != null) {
            detector.recordProbeAnswer(suspect);
        }
    }

    void refreshRegistry() {
        registry.refresh().exceptionally(failure -> null);
    }

    /** Returns whether rendezvous hashing over the nodes that accept work assigns the subject to this node. */
    boolean isResponsibleFor(String subject) {
        LongHashFunction hash = LongHashFunction.xx3();
        return acceptingNodes().stream()
                .map(NodeRecord::incarnation)
                .min(java.util.Comparator.comparingLong(node -> hash.hashChars(subject + node)))
                .filter(name::equals)
                .isPresent();
    }

    /**
     * Hands all programs over: starts no further steps, waits for the running ones, then seals its own journal.
     *
     * @return completes when the journal is sealed, or without a seal if no other node accepts work
     */
    CompletableFuture<Void> drain() {
        draining = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        registry.change(name, NodeRecord::withDraining)
                .whenCompleteAsync(
                        (record, failure) -> {
                            broadcastRegistryChange();
                            host.drain();
                            sealWhenIdle(
                                    loop.clock().nanos()
                                            + settings.timings().drainTimeout().toNanos(),
                                    drained);
                        },
                        loop);
        return drained;
    }

    private void sealWhenIdle(long limitNanos, CompletableFuture<Void> drained) {
        if (terminated || handedOver) {
            drained.complete(null);
            return;
        }
        if (!host.isIdle() && loop.clock().nanos() < limitNanos) {
            loop.schedule(settings.timings().commitInterval(), () -> sealWhenIdle(limitNanos, drained));
            return;
        }
        List<String> successors =
                acceptingNodes().stream().map(NodeRecord::incarnation).toList();
        if (successors.isEmpty()) {
            drained.complete(null);
            return;
        }
        takeover.seal(name, successors)
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure == null) {
                                drained.complete(null);
                            } else {
                                loop.schedule(RETRY_DELAY, () -> sealWhenIdle(limitNanos, drained));
                            }
                        },
                        loop);
    }

    private void register() {
        if (terminated) {
            return;
        }
        if (!manifest.isKnown()) {
            loop.schedule(MANIFEST_CHECK_INTERVAL, this::register);
            return;
        }
        NodeRecord record = new NodeRecord(name, settings.http(), settings.link(), settings.zone(), false, List.of());
        registry.refresh()
                .thenComposeAsync(
                        done -> registry.find(name).isPresent()
                                ? CompletableFuture.<Void>completedFuture(null)
                                : registry.create(record),
                        loop)
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure == null) {
                                activate();
                            } else {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("register_failed")
                                                .with("node", name)
                                                .failure(failure)
                                                .toString());
                                loop.schedule(RETRY_DELAY, this::register);
                            }
                        },
                        loop);
    }

    private void activate() {
        if (terminated || registered) {
            return;
        }
        registered = true;
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("node_active")
                        .with("node", name)
                        .with("zone", settings.zone())
                        .with("peers", peers().size())
                        .toString());
        detector = new FailureDetector(
                loop,
                registry.find(name).orElseThrow(),
                settings.timings(),
                this::peers,
                this::send,
                manifest::generation,
                this::sealJournalOf,
                peer -> environment.links().reset(peer.link()));
        broadcastRegistryChange();
        pollRegistry();
        compactor.start();
        takeover.processShares();
    }

    private void pollRegistry() {
        if (!terminated) {
            refreshRegistry();
            adjustCommitInterval();
            takeover.processShares();
            loop.schedule(settings.timings().registryPollInterval(), this::pollRegistry);
        }
    }

    /**
     * Sets the commit interval so that all nodes together stay within the platform's write rate. Each node derives its
     * part from the number of peers, so no coordination is needed.
     */
    private void adjustCommitInterval() {
        NodeSettings.Timings timings = settings.timings();
        long perWriter = (peers().size() + 1) * 1_000_000_000L / timings.platformWritesPerSecond();
        journal.setCommitInterval(
                Duration.ofNanos(Math.max(timings.commitInterval().toNanos(), perWriter)));
    }

    private void sealJournalOf(NodeRecord failedNode) {
        List<String> successors = acceptingNodes().stream()
                .map(NodeRecord::incarnation)
                .filter(incarnation -> !incarnation.equals(failedNode.incarnation()))
                .toList();
        if (!successors.isEmpty()) {
            takeover.seal(failedNode.incarnation(), successors).exceptionally(failure -> null);
        }
    }

    private void handleRecordChange(NodeRecord record) {
        if (!record.hasSealedJournal()) {
            return;
        }
        if (record.incarnation().equals(name)) {
            terminate();
            return;
        }
        onSealed.accept(record);
        if (registered) {
            takeover.processShares();
        }
    }

    private void broadcastRegistryChange() {
        broadcast(new PeerMessage.RegistryChanged());
    }

    /**
     * Stops all programs after the journal has been sealed, by another node or by this node's own drain: their new
     * owners run them from now on. After a drain the incarnation stays registered in order to forward open requests.
     */
    private void terminate() {
        if (terminated || handedOver) {
            return;
        }
        terminated = !draining;
        handedOver = draining;
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("incarnation_terminated")
                        .with("node", name)
                        .with("draining", draining)
                        .toString());
        takeover.stop();
        compactor.stop();
        host.stop();
        if (terminated) {
            if (detector != null) {
                detector.stop();
            }
            onTerminated.run();
        }
    }
}
