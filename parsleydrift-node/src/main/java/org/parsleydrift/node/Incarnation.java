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
import org.parsleydrift.node.manifest.ManifestKeeper;
import org.parsleydrift.node.membership.FailureDetector;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.node.ownership.OwnerDirectory;
import org.parsleydrift.node.ownership.Takeover;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * One life of a node: a name, a journal, the programs in it. It ends when the process does, or when another node seals
 * its journal; the process then begins the next one. Confined to the node's loop.
 */
final class Incarnation {
    private static final Logger LOG = System.getLogger(Incarnation.class.getName());
    private static final int SEGMENT_BYTES = 768 * 1024;
    private static final Duration RETRY = Duration.ofMillis(500);
    private static final Duration LOOK_AGAIN = Duration.ofMillis(50);

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings settings;
    private final String name;
    private final ManifestKeeper manifest;
    private final Consumer<NodeRecord> onSealed;
    private final Runnable onOver;
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
    private boolean over;
    private boolean handedOver;

    /**
     * Begins a life.
     *
     * @param onSealed told each node whose journal is found sealed
     * @param onOver told when this incarnation is over
     */
    Incarnation(
            NodeEnvironment environment,
            NodeSettings settings,
            String name,
            ManifestKeeper manifest,
            Upstreams upstreams,
            Consumer<NodeRecord> onSealed,
            Runnable onOver) {
        this.environment = environment;
        this.loop = environment.loop();
        this.settings = settings;
        this.name = name;
        this.manifest = manifest;
        this.onSealed = onSealed;
        this.onOver = onOver;
        NodeSettings.Timings timings = settings.timings();
        JournalOptions options =
                new JournalOptions(timings.commitInterval(), timings.platformTimeout(), RETRY, SEGMENT_BYTES);
        this.registry = new NodeRegistry(environment, timings, this::recordChanged);
        this.directory = new OwnerDirectory(name, registry);
        this.journal = new JournalWriter(loop, environment.store(), name, options, fenced -> end());
        this.reader = new JournalReader(loop, environment.store(), options);
        this.host = new ProgramHost(environment, timings, journal, manifest, upstreams);
        this.takeover = new Takeover(loop, name, reader, registry, directory, host, surroundings());
        this.compactor = new JournalCompactor(environment, name, journal, host);
        register();
    }

    private Takeover.Surroundings surroundings() {
        return new Takeover.Surroundings(
                () -> takers().stream().map(NodeRecord::incarnation).toList(), this::leads, this::tellRegistryChanged);
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

    boolean active() {
        return registered && !over;
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

    /** The other nodes whose journals are open. */
    List<NodeRecord> peers() {
        return registry.records().values().stream()
                .filter(record -> !record.over() && !record.incarnation().equals(name))
                .toList();
    }

    /** The nodes that take new work, this one among them unless it drains. */
    List<NodeRecord> takers() {
        return registry.records().values().stream()
                .filter(record -> !record.over()
                        && !record.draining()
                        && (detector == null || detector.hears(record.incarnation())))
                .filter(record -> !draining || !record.incarnation().equals(name))
                .sorted(java.util.Comparator.comparing(NodeRecord::incarnation))
                .toList();
    }

    boolean hears(String incarnation) {
        return detector != null && detector.hears(incarnation);
    }

    boolean watchesAndHears(String incarnation) {
        return detector != null && detector.watches(incarnation) && detector.hears(incarnation);
    }

    void send(NodeRecord to, PeerMessage message) {
        environment.links().send(to.link(), new PeerEnvelope(name, settings.link(), to.incarnation(), message));
    }

    void broadcast(PeerMessage message) {
        peers().forEach(peer -> send(peer, message));
    }

    void heard(String from) {
        if (detector != null) {
            detector.heard(from);
        }
    }

    void vouched(String suspect) {
        if (detector != null) {
            detector.vouched(suspect);
        }
    }

    void refresh() {
        registry.refresh().exceptionally(failure -> null);
    }

    /** Whether this node, of all that take work, is the one to look after something. */
    boolean leads(String subject) {
        LongHashFunction hash = LongHashFunction.xx3();
        return takers().stream()
                .map(NodeRecord::incarnation)
                .min(java.util.Comparator.comparingLong(node -> hash.hashChars(subject + node)))
                .filter(name::equals)
                .isPresent();
    }

    /**
     * Hands all programs over: takes no new steps, waits for those under way, seals its own journal.
     *
     * @return completes when the successors own the programs, or at once if there is nobody to take them
     */
    CompletableFuture<Void> drain() {
        draining = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        registry.change(name, NodeRecord::withDraining)
                .whenCompleteAsync(
                        (record, failure) -> {
                            tellRegistryChanged();
                            host.drain();
                            sealWhenQuiet(
                                    loop.clock().nanos()
                                            + settings.timings().drainTimeout().toNanos(),
                                    drained);
                        },
                        loop);
        return drained;
    }

    private void sealWhenQuiet(long limitNanos, CompletableFuture<Void> drained) {
        if (over || handedOver) {
            drained.complete(null);
            return;
        }
        if (!host.quiet() && loop.clock().nanos() < limitNanos) {
            loop.schedule(settings.timings().commitInterval(), () -> sealWhenQuiet(limitNanos, drained));
            return;
        }
        List<String> successors = takers().stream().map(NodeRecord::incarnation).toList();
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
                                loop.schedule(RETRY, () -> sealWhenQuiet(limitNanos, drained));
                            }
                        },
                        loop);
    }

    private void register() {
        if (over) {
            return;
        }
        if (!manifest.known()) {
            loop.schedule(LOOK_AGAIN, this::register);
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
                                begin();
                            } else {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("register_failed")
                                                .with("node", name)
                                                .failure(failure)
                                                .toString());
                                loop.schedule(RETRY, this::register);
                            }
                        },
                        loop);
    }

    private void begin() {
        if (over || registered) {
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
                this::sealDead,
                peer -> environment.links().reset(peer.link()));
        tellRegistryChanged();
        poll();
        compactor.begin();
        takeover.work();
    }

    private void poll() {
        if (!over) {
            refresh();
            shareWriteRate();
            takeover.work();
            loop.schedule(settings.timings().registryPollInterval(), this::poll);
        }
    }

    /**
     * Spaces this node's journal writes so that the whole fleet stays within its share of the platform's write rate.
     * Each node counts the others by itself, so no one has to hand out shares.
     */
    private void shareWriteRate() {
        NodeSettings.Timings timings = settings.timings();
        long perWriter = (peers().size() + 1) * 1_000_000_000L / timings.platformWritesPerSecond();
        journal.setCommitInterval(
                Duration.ofNanos(Math.max(timings.commitInterval().toNanos(), perWriter)));
    }

    private void sealDead(NodeRecord dead) {
        List<String> successors = takers().stream()
                .map(NodeRecord::incarnation)
                .filter(incarnation -> !incarnation.equals(dead.incarnation()))
                .toList();
        if (!successors.isEmpty()) {
            takeover.seal(dead.incarnation(), successors).exceptionally(failure -> null);
        }
    }

    private void recordChanged(NodeRecord record) {
        if (!record.over()) {
            return;
        }
        if (record.incarnation().equals(name)) {
            end();
            return;
        }
        onSealed.accept(record);
        if (registered) {
            takeover.work();
        }
    }

    private void tellRegistryChanged() {
        broadcast(new PeerMessage.RegistryChanged());
    }

    /**
     * Another node sealed the journal while this one was paused or cut off, or this one handed its programs over.
     * Going on with them would run each twice. After a drain the name lives on, to forward what callers still ask here.
     */
    private void end() {
        if (over || handedOver) {
            return;
        }
        over = !draining;
        handedOver = draining;
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("node_over")
                        .with("node", name)
                        .with("draining", draining)
                        .toString());
        takeover.stop();
        compactor.stop();
        host.stop();
        if (over) {
            if (detector != null) {
                detector.stop();
            }
            onOver.run();
        }
    }
}
