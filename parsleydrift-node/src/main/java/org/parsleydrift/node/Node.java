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
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.kernel.platform.VmEntry;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.ManifestVersion;
import org.parsleydrift.manifest.OperationSpec;
import org.parsleydrift.node.call.CallExecutor;
import org.parsleydrift.node.call.CallResult;
import org.parsleydrift.node.call.EffectGate;
import org.parsleydrift.node.caller.CallerGateway;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.node.host.Upstreams;
import org.parsleydrift.node.manifest.ManifestManager;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerMessage;
import org.parsleydrift.node.placement.RunnerPool;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;

/**
 * Entry point of the node module: accepts caller requests and peer messages, and restarts the node under a new
 * incarnation when its journal is sealed. All methods must be called on the node's event loop (docs/ARCHITECTURE.md).
 */
public final class Node {
    private static final Logger LOG = System.getLogger(Node.class.getName());
    private static final Duration VM_POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration MANIFEST_POLL_INTERVAL = Duration.ofSeconds(3);
    private static final Duration WATCH_RETRY_DELAY = Duration.ofSeconds(1);
    private static final int ENTRY_TTL_SECONDS = 30;
    private static final int MAX_ALTERNATES = 4;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings settings;
    private final ManifestManager manifest;
    private final RunnerPool runners;
    private final CallExecutor calls;
    private final CallerGateway gateway;
    private final NodeDrain drain;
    private final Set<String> leavingAddresses = new HashSet<>();
    private List<String> seedPeers = List.of();
    private Incarnation incarnation;
    private long watchedVersion;

    /**
     * Creates a node and starts its first incarnation.
     *
     * @param environment event loop, clients, random source and metrics
     * @param settings identity, addresses and timings
     */
    public Node(NodeEnvironment environment, NodeSettings settings) {
        this.environment = environment;
        this.loop = environment.loop();
        this.settings = settings;
        this.runners = new RunnerPool(environment);
        this.calls = new CallExecutor(environment);
        this.manifest = new ManifestManager(
                loop, environment.store(), settings.timings().platformTimeout(), this::applyManifest);
        this.gateway = new CallerGateway(
                loop,
                settings.timings(),
                () -> incarnation != null && incarnation.isActive()
                        ? Optional.of(incarnation.routes())
                        : Optional.empty());
        this.drain = new NodeDrain(loop, settings.timings(), gateway);
        startIncarnation();
        pollManifest();
        watchManifest();
        pollVms();
        new EngineMemorySweeper(environment, this, runners, gateway);
    }

    /**
     * Sets the peers to request the manifest from while the platform is unavailable and no manifest is known.
     *
     * @param addresses link addresses, as {@code host:port}
     */
    public void setSeedPeers(List<String> addresses) {
        seedPeers = List.copyOf(addresses);
    }

    /**
     * Routes a caller's request to the owner of its program. A draining node refuses what may take longer than it has left.
     *
     * @param request the request
     * @param sink receives the replies on the event loop
     * @return cancels the delivery of further replies
     */
    public Runnable open(CallerRequest request, ReplySink sink) {
        OperationSpec service = request instanceof CallerRequest.CallService call
                ? manifest.manifest().services().get(call.service())
                : null;
        if (!drain.permitsLookup() || (service != null && !drain.permits(service.timeout()))) {
            sink.reply(CallerGateway.refusalAtEnd(request, false));
            return () -> {};
        }
        return gateway.open(request, sink);
    }

    /**
     * Calls a service whose calls are idempotent. Any node can make such a call; nothing is written to the journal.
     *
     * @param service the service's name in the manifest
     * @param body the request body
     * @return the result; fails with a {@link StepException} if the manifest has no repeatable service of that name, or if
     *     this node drains and the call may take longer than it has left. Unknown if the node's drain ends before.
     */
    public CompletableFuture<CallResult> callRepeatable(String service, String body) {
        OperationSpec spec = manifest.manifest().services().get(service);
        if (spec == null || !spec.repeatable()) {
            return CompletableFuture.failedFuture(new StepException(
                    Step.CALL,
                    "caller",
                    "no repeatable service " + service + " in manifest generation " + manifest.generation()));
        }
        if (!drain.permits(spec.timeout())) {
            return CompletableFuture.failedFuture(processEnds());
        }
        String callId = "plain/" + Long.toHexString(environment.random().nextLong());
        return drain.bound(
                calls.execute(spec, new CallRequest(callId, service, body), EffectGate.ALWAYS_PERMITTED),
                result -> result.complete(new CallResult(CallOutcome.OUTCOME_UNKNOWN, "process ends")));
    }

    private static StepException processEnds() {
        return new StepException(Step.ADMIT, "self", "process ends");
    }

    /**
     * Returns the manifest manager of this node.
     *
     * @return the manager, shared by all incarnations of this node
     */
    public ManifestManager manifest() {
        return manifest;
    }

    /**
     * Submits a manifest. Once the platform has stored it, it is broadcast to all peers.
     *
     * @param text the manifest
     * @param expected the generation that it replaces, or -1 for any
     * @return the stored version; fails with a {@link StepException} if the generation differs from the expected one, or if
     *     this node drains and has no time left, and with a {@link StoreException} if its drain ends before
     */
    public CompletableFuture<ManifestVersion> submitManifest(String text, long expected) {
        if (!drain.permits(settings.timings().platformTimeout())) {
            return CompletableFuture.failedFuture(processEnds());
        }
        return drain.bound(
                manifest.submit(text, expected),
                result -> result.completeExceptionally(new StoreException(StoreFailure.UNKNOWN, ManifestManager.KEY)));
    }

    /**
     * Returns whether this node serves callers.
     *
     * @return true if it is registered, has a manifest, and is not draining
     */
    public boolean isReady() {
        return incarnation.isActive() && manifest.version() != null && !drain.hasBegun();
    }

    /**
     * Assigns an entry node to a caller, chosen at random among the nodes that accept new work.
     *
     * @param team the caller's team
     * @return the assignment, or empty if no node accepts new work or no manifest is known
     */
    public Optional<EntryAssignment> assignEntryNode(String team) {
        List<NodeRecord> candidates = incarnation.isActive() ? incarnation.acceptingNodes() : List.of();
        if (candidates.isEmpty() || manifest.version() == null) {
            return Optional.empty();
        }
        long salt = environment.random().nextLong();
        LongHashFunction hash = LongHashFunction.xx3(salt);
        NodeRecord owner = candidates.stream()
                .min(Comparator.comparingLong(record -> hash.hashChars(team + record.incarnation())))
                .orElseThrow();
        List<String> alternates = candidates.stream()
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
                        .with("candidates", candidates.size())
                        .toString());
        return Optional.of(
                new EntryAssignment(owner.http(), alternates, ENTRY_TTL_SECONDS, manifest.generation(), ticket));
    }

    /**
     * Returns a snapshot of this node's state.
     *
     * @return the status, including how this node sees its peers
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
                        incarnation.isAlive(peer.incarnation()),
                        peer.draining()))
                .toList();
        return new NodeStatus(
                incarnation.name(),
                settings.zone(),
                isReady(),
                drain.hasBegun(),
                manifest.generation(),
                states.size() - ended,
                ended,
                incarnation.journal().durableSequence(),
                peers);
    }

    /**
     * Returns the programs that this node owns.
     *
     * @return states by id, including programs that ended within the retention period
     */
    public Map<ProgramId, ProgramState> programs() {
        return incarnation.host().states();
    }

    /**
     * Returns whether this node owns a program that has not ended.
     *
     * @param id the program
     * @return false if the program has ended, is unknown, or belongs to another node
     */
    public boolean isRunning(ProgramId id) {
        return incarnation.host().isRunning(id);
    }

    /**
     * Handles a message from a peer. Messages to other incarnations are dropped, except for the exchange of manifests.
     *
     * @param envelope the message with its sender and receiver
     */
    public void receive(PeerEnvelope envelope) {
        PeerMessage message = envelope.message();
        if (message instanceof PeerMessage.ManifestAsk) {
            sendManifest(envelope.from(), envelope.fromLink());
            return;
        }
        if (message instanceof PeerMessage.ManifestOffer offer) {
            manifest.offerFromPeer(offer.version(), envelope.from());
            return;
        }
        if (!incarnation.isActive() || !incarnation.name().equals(envelope.to())) {
            return;
        }
        Optional<NodeRecord> sender = incarnation.registry().find(envelope.from());
        if (sender.isEmpty()) {
            incarnation.refreshRegistry();
            return;
        }
        if (!sender.get().hasSealedJournal()) {
            incarnation.recordHeartbeat(envelope.from());
        }
        dispatch(sender.get(), message);
    }

    private void dispatch(NodeRecord from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Heartbeat beat -> requestManifestIfNewer(from, beat.generation());
            case PeerMessage.Probe probe -> {
                if (incarnation.isWatchedAndAlive(probe.suspect())) {
                    incarnation.send(from, new PeerMessage.ProbeAnswer(probe.suspect()));
                }
            }
            case PeerMessage.ProbeAnswer answer -> incarnation.recordProbeAnswer(answer.suspect());
            case PeerMessage.RegistryChanged ignored -> incarnation.refreshRegistry();
            case PeerMessage.Forward forward -> gateway.handleForward(from, forward);
            case PeerMessage.ForwardCancel cancel -> gateway.handleForwardCancel(from, cancel.number());
            case PeerMessage.ForwardReply reply -> gateway.handleForwardReply(reply);
            case PeerMessage.ManifestOffer offer -> manifest.offerFromPeer(offer.version(), from.incarnation());
            case PeerMessage.ManifestAsk ignored -> sendManifest(from.incarnation(), from.link());
        }
    }

    /**
     * Hands all programs over to other nodes and waits until no caller request is open. Requests that are open after three
     * drain timeouts are answered then.
     *
     * @return completes when the process may exit; all replies have been given to their sinks
     */
    public CompletableFuture<Void> drain() {
        drain.begin();
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("drain_begin")
                        .with("node", incarnation.name())
                        .with("programs", incarnation.host().states().size())
                        .toString());
        CompletableFuture<Void> done = new CompletableFuture<>();
        incarnation.drain().whenCompleteAsync((handedOver, failure) -> drain.completeWhenAnswered(done), loop);
        return done;
    }

    boolean isResponsibleFor(String subject) {
        return incarnation.isActive() && incarnation.isResponsibleFor(subject);
    }

    private void startIncarnation() {
        String name =
                settings.vm() + "-" + Long.toHexString(environment.random().nextLong());
        incarnation = new Incarnation(
                environment,
                settings,
                name,
                manifest,
                new Upstreams(runners, calls),
                record -> gateway.retryRequestsTo(record.incarnation()),
                this::replaceIncarnation);
    }

    private void replaceIncarnation() {
        String former = incarnation.name();
        startIncarnation();
        gateway.retryRequestsTo(former);
    }

    private void applyManifest(Manifest changed) {
        runners.configure(changed);
        if (incarnation != null) {
            incarnation.broadcast(new PeerMessage.ManifestOffer(manifest.version()));
        }
    }

    private void requestManifestIfNewer(NodeRecord peer, long generation) {
        if (generation > manifest.generation()) {
            incarnation.send(peer, new PeerMessage.ManifestAsk());
        }
    }

    private void sendManifest(String to, String link) {
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

    private void pollManifest() {
        manifest.refresh()
                .whenCompleteAsync(
                        (changed, failure) -> {
                            if (failure != null && manifest.version() == null) {
                                manifest.markPlatformUnavailable();
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
                            loop.schedule(MANIFEST_POLL_INTERVAL, this::pollManifest);
                        },
                        loop);
    }

    /** Long-polls the platform for the next manifest. Only one node of each zone does so, to limit platform calls. */
    private void watchManifest() {
        if (!incarnation.isActive() || !isZoneWatcher()) {
            loop.schedule(WATCH_RETRY_DELAY, this::watchManifest);
            return;
        }
        environment
                .store()
                .watch(ManifestManager.KEY, watchedVersion)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null && found.isPresent()) {
                                watchedVersion = found.get().version();
                                manifest.refresh();
                            }
                            loop.schedule(failure == null ? Duration.ZERO : WATCH_RETRY_DELAY, this::watchManifest);
                        },
                        loop);
    }

    private boolean isZoneWatcher() {
        return incarnation.acceptingNodes().stream()
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
                                applyVmList(rows);
                            }
                            loop.schedule(VM_POLL_INTERVAL, this::pollVms);
                        },
                        loop);
    }

    private void applyVmList(List<VmEntry> rows) {
        Set<String> leaving = new HashSet<>();
        rows.stream().filter(VmEntry::leaving).map(VmEntry::address).forEach(leaving::add);
        leaving.stream().filter(leavingAddresses::add).forEach(address -> markLeaving(address, true));
        List<String> returned = leavingAddresses.stream()
                .filter(address -> !leaving.contains(address))
                .toList();
        returned.forEach(address -> {
            leavingAddresses.remove(address);
            markLeaving(address, false);
        });
    }

    private void markLeaving(String address, boolean leaving) {
        runners.setLeaving(address, leaving);
        calls.setLeaving(address, leaving);
    }
}
