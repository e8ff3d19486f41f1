package org.parsleydrift.node;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.openhft.hashing.LongHashFunction;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.platform.VmEntry;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.ManifestVersion;
import org.parsleydrift.manifest.OperationSpec;
import org.parsleydrift.node.call.CallEnd;
import org.parsleydrift.node.call.CallRunner;
import org.parsleydrift.node.call.EffectGate;
import org.parsleydrift.node.caller.CallerGateway;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.node.host.Upstreams;
import org.parsleydrift.node.manifest.ManifestKeeper;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerMessage;
import org.parsleydrift.node.placement.RunnerPool;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;

/**
 * A node: the facade that the daemon, tests and benches use. All methods are called on the node's loop
 * (docs/ARCHITECTURE.md).
 */
public final class Node {
    private static final Logger LOG = System.getLogger(Node.class.getName());
    private static final Duration VM_POLL = Duration.ofMillis(500);
    private static final Duration MANIFEST_POLL = Duration.ofSeconds(3);
    private static final Duration WATCH_RETRY = Duration.ofSeconds(1);
    private static final Duration DRAIN_CHECK = Duration.ofMillis(100);
    private static final int TTL_SECONDS = 30;
    private static final int MAX_ALTERNATES = 4;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings settings;
    private final ManifestKeeper manifest;
    private final RunnerPool runners;
    private final CallRunner calls;
    private final CallerGateway gateway;
    private final Set<String> listedLeaving = new HashSet<>();
    private List<String> seedPeers = List.of();
    private Incarnation incarnation;
    private boolean draining;
    private long watchedVersion;

    /**
     * Makes a node and begins its first life.
     *
     * @param environment the outside
     * @param settings identity and timings
     */
    public Node(NodeEnvironment environment, NodeSettings settings) {
        this.environment = environment;
        this.loop = environment.loop();
        this.settings = settings;
        this.runners = new RunnerPool(environment);
        this.calls = new CallRunner(environment);
        this.manifest = new ManifestKeeper(
                loop, environment.store(), settings.timings().platformTimeout(), this::manifestChanged);
        this.gateway = new CallerGateway(
                loop,
                settings.timings(),
                () -> incarnation != null && incarnation.active()
                        ? Optional.of(incarnation.routes())
                        : Optional.empty());
        beginLife();
        readManifest();
        watchManifest();
        pollVms();
        new RunnerSweep(environment, this, runners, gateway);
    }

    /**
     * Names link addresses to ask for the manifest while the platform can't tell who the peers are.
     *
     * @param addresses link addresses
     */
    public void setSeedPeers(List<String> addresses) {
        seedPeers = List.copyOf(addresses);
    }

    /**
     * Serves a caller's request.
     *
     * @param request the request
     * @param sink receives the replies
     * @return ends the interest in further replies
     */
    public Runnable open(CallerRequest request, ReplySink sink) {
        return gateway.open(request, sink);
    }

    /**
     * Calls a plain service whose calls may be repeated; any node can do that, and nothing is kept.
     *
     * @param service the service
     * @param body what to send
     * @return how it ended
     */
    public CompletableFuture<CallEnd> callRepeatable(String service, String body) {
        OperationSpec spec = manifest.manifest().services().get(service);
        if (spec == null || !spec.repeatable()) {
            return CompletableFuture.failedFuture(
                    new StepException(Step.CALL, "caller", "no repeatable service " + service));
        }
        String callId = "plain/" + Long.toHexString(environment.random().nextLong());
        return calls.run(spec, new CallRequest(callId, service, body), EffectGate.OPEN);
    }

    /**
     * The manifest in force and its keeper.
     *
     * @return the keeper
     */
    public ManifestKeeper manifest() {
        return manifest;
    }

    /**
     * Accepts a manifest and tells it to all nodes.
     *
     * @param text the manifest
     * @param expected the generation that the operator saw, or -1 for any
     * @return the version in force then
     */
    public CompletableFuture<ManifestVersion> submitManifest(String text, long expected) {
        return manifest.submit(text, expected);
    }

    /**
     * Whether this node serves: it is registered, knows a manifest, and does not drain.
     *
     * @return true if it is ready
     */
    public boolean isReady() {
        return incarnation.active() && manifest.version() != null && !draining;
    }

    /**
     * Tells a caller which address to use.
     *
     * @param team the caller's team
     * @return the advice, or empty if no node takes new work
     */
    public Optional<EntryAssignment> assignEntryNode(String team) {
        List<NodeRecord> takers = incarnation.active() ? incarnation.takers() : List.of();
        if (takers.isEmpty() || manifest.version() == null) {
            return Optional.empty();
        }
        long salt = environment.random().nextLong();
        LongHashFunction hash = LongHashFunction.xx3(salt);
        NodeRecord owner = takers.stream()
                .min(Comparator.comparingLong(record -> hash.hashChars(team + record.incarnation())))
                .orElseThrow();
        List<String> alternates = takers.stream()
                .filter(record -> !record.equals(owner))
                .sorted(Comparator.comparing(record -> record.zone().equals(owner.zone())))
                .limit(MAX_ALTERNATES)
                .map(NodeRecord::http)
                .toList();
        String ticket = owner.incarnation() + "~" + loop.clock().instant().getEpochSecond() / 60;
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("entry")
                        .with("team", team)
                        .with("node", owner.incarnation())
                        .with("candidates", takers.size())
                        .toString());
        return Optional.of(new EntryAssignment(owner.http(), alternates, TTL_SECONDS, manifest.generation(), ticket));
    }

    /**
     * What this node says of itself.
     *
     * @return its status
     */
    public NodeStatus status() {
        Map<ProgramId, ProgramState> states = incarnation.host().states();
        int ended =
                (int) states.values().stream().filter(ProgramState::hasEnded).count();
        List<NodeStatus.PeerStatus> peers = incarnation.peers().stream()
                .map(peer -> new NodeStatus.PeerStatus(
                        peer.incarnation(),
                        peer.http(),
                        peer.zone(),
                        incarnation.hears(peer.incarnation()),
                        peer.draining()))
                .toList();
        return new NodeStatus(
                incarnation.name(),
                settings.zone(),
                isReady(),
                draining,
                manifest.generation(),
                states.size() - ended,
                ended,
                incarnation.journal().durableSequence(),
                peers);
    }

    /**
     * The programs that this node owns.
     *
     * @return states by id, ended ones among them
     */
    public Map<ProgramId, ProgramState> programs() {
        return incarnation.host().states();
    }

    /**
     * Whether this node owns a program that is under way.
     *
     * @param id the program
     * @return true if it does
     */
    public boolean isRunning(ProgramId id) {
        return incarnation.host().running(id);
    }

    /**
     * Takes a message of a peer.
     *
     * @param envelope the message
     */
    public void receive(PeerEnvelope envelope) {
        PeerMessage message = envelope.message();
        if (message instanceof PeerMessage.ManifestAsk) {
            offerManifest(envelope.from(), envelope.fromLink());
            return;
        }
        if (message instanceof PeerMessage.ManifestOffer offer) {
            manifest.offerFromPeer(offer.version(), envelope.from());
            return;
        }
        if (!incarnation.active() || !incarnation.name().equals(envelope.to())) {
            return;
        }
        Optional<NodeRecord> sender = incarnation.registry().find(envelope.from());
        if (sender.isEmpty()) {
            incarnation.refresh();
            return;
        }
        if (!sender.get().over()) {
            incarnation.heard(envelope.from());
        }
        dispatch(sender.get(), message);
    }

    private void dispatch(NodeRecord from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Heartbeat beat -> compareGenerations(from, beat.generation());
            case PeerMessage.Probe probe -> {
                if (incarnation.watchesAndHears(probe.suspect())) {
                    incarnation.send(from, new PeerMessage.ProbeAnswer(probe.suspect()));
                }
            }
            case PeerMessage.ProbeAnswer answer -> incarnation.vouched(answer.suspect());
            case PeerMessage.RegistryChanged ignored -> incarnation.refresh();
            case PeerMessage.Forward forward -> gateway.forward(from, forward);
            case PeerMessage.ForwardCancel cancel -> gateway.forwardCancel(from, cancel.number());
            case PeerMessage.ForwardReply reply -> gateway.forwardReply(reply);
            case PeerMessage.ManifestOffer offer -> manifest.offerFromPeer(offer.version(), from.incarnation());
            case PeerMessage.ManifestAsk ignored -> offerManifest(from.incarnation(), from.link());
        }
    }

    /**
     * Hands all programs over and waits until no caller waits here.
     *
     * @return completes when the process may exit
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("drain_begin")
                        .with("node", incarnation.name())
                        .with("programs", incarnation.host().states().size())
                        .toString());
        CompletableFuture<Void> done = new CompletableFuture<>();
        incarnation
                .drain()
                .whenCompleteAsync(
                        (handedOver, failure) -> exitWhenUnused(
                                loop.clock().nanos()
                                        + settings.timings().drainTimeout().toNanos() * 2,
                                done),
                        loop);
        return done;
    }

    boolean leads(String subject) {
        return incarnation.active() && incarnation.leads(subject);
    }

    private void exitWhenUnused(long limitNanos, CompletableFuture<Void> done) {
        if (gateway.waiting() == 0 || loop.clock().nanos() > limitNanos) {
            LOG.log(
                    Logger.Level.INFO,
                    LogLine.of("drain_done").with("waiting", gateway.waiting()).toString());
            done.complete(null);
            return;
        }
        loop.schedule(DRAIN_CHECK, () -> exitWhenUnused(limitNanos, done));
    }

    private void beginLife() {
        String name =
                settings.vm() + "-" + Long.toHexString(environment.random().nextLong());
        incarnation = new Incarnation(
                environment,
                settings,
                name,
                manifest,
                new Upstreams(runners, calls),
                record -> gateway.lost(record.incarnation()),
                this::lifeOver);
    }

    private void lifeOver() {
        String former = incarnation.name();
        beginLife();
        gateway.lost(former);
    }

    private void manifestChanged(Manifest changed) {
        runners.configure(changed);
        if (incarnation != null) {
            incarnation.broadcast(new PeerMessage.ManifestOffer(manifest.version()));
        }
    }

    private void compareGenerations(NodeRecord peer, long generation) {
        if (generation > manifest.generation()) {
            incarnation.send(peer, new PeerMessage.ManifestAsk());
        }
    }

    private void offerManifest(String to, String link) {
        if (manifest.version() != null) {
            environment
                    .links()
                    .send(
                            link,
                            new PeerEnvelope(
                                    incarnation.name(),
                                    settings.link(),
                                    to,
                                    new PeerMessage.ManifestOffer(manifest.version())));
        }
    }

    private void readManifest() {
        manifest.refresh()
                .whenCompleteAsync(
                        (changed, failure) -> {
                            if (failure != null && manifest.version() == null) {
                                manifest.platformSilent();
                                seedPeers.forEach(address -> environment
                                        .links()
                                        .send(
                                                address,
                                                new PeerEnvelope(
                                                        incarnation.name(),
                                                        settings.link(),
                                                        "",
                                                        new PeerMessage.ManifestAsk())));
                            }
                            loop.schedule(MANIFEST_POLL, this::readManifest);
                        },
                        loop);
    }

    /** One node of each zone waits on the platform for the next manifest; a waiting watch costs a call. */
    private void watchManifest() {
        if (!incarnation.active() || !watchesForZone()) {
            loop.schedule(WATCH_RETRY, this::watchManifest);
            return;
        }
        environment
                .store()
                .watch(ManifestKeeper.KEY, watchedVersion)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null && found.isPresent()) {
                                watchedVersion = found.get().version();
                                manifest.refresh();
                            }
                            loop.schedule(failure == null ? Duration.ZERO : WATCH_RETRY, this::watchManifest);
                        },
                        loop);
    }

    private boolean watchesForZone() {
        return incarnation.takers().stream()
                .filter(record -> record.zone().equals(settings.zone()))
                .map(NodeRecord::incarnation)
                .min(Comparator.naturalOrder())
                .filter(incarnation.name()::equals)
                .isPresent();
    }

    private void pollVms() {
        environment
                .store()
                .listVms()
                .whenCompleteAsync(
                        (rows, failure) -> {
                            if (failure == null) {
                                takeVms(rows);
                            }
                            loop.schedule(VM_POLL, this::pollVms);
                        },
                        loop);
    }

    private void takeVms(List<VmEntry> rows) {
        Set<String> leaving = new HashSet<>();
        rows.stream().filter(VmEntry::leaving).map(VmEntry::address).forEach(leaving::add);
        leaving.stream().filter(listedLeaving::add).forEach(address -> markLeaving(address, true));
        List<String> back = listedLeaving.stream()
                .filter(address -> !leaving.contains(address))
                .toList();
        back.forEach(address -> {
            listedLeaving.remove(address);
            markLeaving(address, false);
        });
    }

    private void markLeaving(String address, boolean leaving) {
        runners.leaving(address, leaving);
        calls.leaving(address, leaving);
    }
}
