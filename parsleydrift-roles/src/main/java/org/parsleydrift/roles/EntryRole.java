package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.StoreSetJson;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.placement.fleet.FleetReports;
import org.parsleydrift.placement.lease.LeaseLimit;
import org.parsleydrift.placement.speed.RunnerSpeeds;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.UpstreamService;
import org.parsleydrift.registry.VersionedTable;
import org.parsleydrift.relay.CallerServer;
import org.parsleydrift.relay.ContentionExchange;
import org.parsleydrift.relay.Dispatcher;
import org.parsleydrift.relay.Relay;
import org.parsleydrift.wire.HttpExchange;

/**
 * Entry role: serves callers, answers which addresses callers can use, and synchronizes with the platform and with
 * peers.
 */
final class EntryRole implements Role {
    private static final Logger LOG = System.getLogger(EntryRole.class.getName());
    /**
     * Maximum duration of a watch for runners, the manifest and the store set. A dead watch is detected sooner, by a
     * check.
     */
    static final Duration WATCH_WAIT = Duration.ofSeconds(24);

    private static final Duration NODES_WAIT = Duration.ofSeconds(25);
    /** Cache time of the directory response, s. Short, so that callers soon leave a node that is shutting down. */
    private static final int DIRECTORY_CACHE_SECONDS = 1;
    /** Maximum number of connections to the readiness endpoint and to the directory endpoint. */
    private static final int MAX_AUXILIARY_CONNECTIONS = 512;
    /**
     * Share of a service's slots in use from which on slots are leased. Below it, the runners' own queues absorb what nodes
     * with outdated loads send to the same runner at once, and the frames would only cost processor time, which a slow
     * VM that coordinates a runner does not have.
     */
    private static final double MIN_LEASE_UTILIZATION = 0.35;

    private static final Duration ENTRY_RETRY_DELAY = Duration.ofMillis(700);

    private final ProcessContext context;
    private final boolean contentionControl;
    private final NodeIdentity self;
    private final Registry registry;
    private final TcpFrameSender frames;
    private final ConversationClient stores;
    private final ReplicaCalls calls;
    private final QuotaTracker quotas;
    private final QuotaExchange quotaExchange;
    private final SlotLeaseExchange leases;
    private final Dispatcher dispatcher;
    private final Relay relay;
    private final NodeMesh mesh;
    private final RunnerLossExchange lossExchange;
    private final PeerIntroductions introductions;
    private final WatchedObjects runners;
    private final WatchedObjects manifests;
    private final WatchedObjects storeSets;
    private final ObjectWatcher nodes;
    private CallerServer callerServer;
    private volatile boolean accepting;
    private volatile boolean draining;
    private boolean nodesListed;

    EntryRole(ProcessContext context) {
        this.context = context;
        RoleSettings settings = context.settings;
        contentionControl = settings.contention().isPresent();
        self = new NodeIdentity(
                settings.vm(),
                settings.zone(),
                settings.callers().orElseThrow().toString(),
                settings.link().toString());
        registry = new Registry(context.loop, context.plugin.decoder());
        frames = new TcpFrameSender(context, this::receive);
        calls = createCalls(frames);
        stores = new ConversationClient(context.loop, calls);
        quotas = new QuotaTracker(
                context.loop.clock()::nanos, context.random, settings.quotaPolicy(), this::hasFleetUsage);
        quotaExchange = createQuotaExchange(frames);
        leases = createLeases(frames);
        dispatcher = new Dispatcher(
                registry, context.random, settings.zone(), context.loop.clock()::nanos, leases, createSpeeds());
        relay = new Relay(
                context.threads,
                context.loop,
                registry,
                dispatcher,
                new Conversations(stores),
                quotaExchange,
                context.plugin.headerNames(),
                context.random,
                context.meters);
        runners = watch(ObjectKind.RUNNERS, listener(registry::applyRunnerChanges, registry::setPlatformReachable));
        manifests = watch(ObjectKind.MANIFEST, listener(registry::applyManifestChanges, registry::setManifestCurrent));
        storeSets = watch(ObjectKind.STORE_SET, listener(this::applyStoreSetChanges, reachable -> {}));
        nodes = context.createWatcher(
                ObjectKind.NODES, NODES_WAIT, new VersionedTable(), listener(this::applyNodeChanges, reachable -> {}));
        // Peers introduce each other; the initial list suffices until the mesh has decided which nodes watch.
        nodes.setWatching(false);
        mesh = new NodeMesh(
                context.loop,
                frames,
                self,
                new FleetUsage(dispatcher, quotas, enableContentionControl()),
                this::isReady,
                () -> !draining && stores.hasProvenQuorum(),
                context.random,
                Map.of(ObjectKind.RUNNERS, runners, ObjectKind.MANIFEST, manifests, ObjectKind.STORE_SET, storeSets),
                nodes::setWatching);
        lossExchange = createLossExchange(frames);
        connectLosses();
        introductions = new PeerIntroductions(frames, self.link(), mesh::knownPeers, mesh::addPeer);
        mesh.setPeerReadyListener(this::handlePeerReady);
        calls.setForwarders(
                new StoreForwarderSelector(mesh::storeForwarders, context.random, context.loop.clock()::nanos));
        context.meters.gauge("parsleydrift.requests.open", relay, Relay::openRequests);
        context.meters.gauge("parsleydrift.requests.waiting", dispatcher, Dispatcher::queueLength);
    }

    private void connectLosses() {
        relay.losses().publishTo(lossExchange);
        relay.losses().setCurrent(lossExchange::isCurrent);
        relay.losses().setEntryStaleness(runners::staleness);
    }

    @Override
    public void start() {
        // Before the other parts, whose first requests peers answer on a connection of their own.
        frames.listen();
        context.serveMetrics();
        context.loop.execute(() -> {
            runners.start();
            manifests.start();
            storeSets.start();
            nodes.start();
            mesh.start();
            quotaExchange.start();
            lossExchange.start();
            relay.losses().start(relay::resumeWaiting);
            if (contentionControl) {
                leases.start();
            }
        });
    }

    @Override
    public void acceptRequests() {
        RoleSettings settings = context.settings;
        context.serve(settings.directory().orElseThrow(), MAX_AUXILIARY_CONNECTIONS, this::respondDirectory);
        context.serve(settings.readiness().orElseThrow(), MAX_AUXILIARY_CONNECTIONS, this::respondReadiness);
        // Last, so that no caller is connected if another address cannot be opened.
        callerServer = new CallerServer(
                context.threads,
                context.loop,
                settings.callers().orElseThrow().socket(),
                relay,
                () -> registry.manifest().map(RoutingManifest::limits).orElseGet(CallerLimits::defaults));
        accepting = true;
    }

    @Override
    public void drain() {
        draining = true;
        try {
            new EntryDrain(context.loop, context.settings.grace(), relay, callerServer)
                    .run(mesh::sendNow, () -> !mesh.readyNodes().isEmpty());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void reload(RoleSettings settings) {
        // Addresses cannot change in a running process; everything else comes from the platform.
        boolean changed = !settings.equals(context.settings);
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("settings_reloaded").with("changed", changed).toString());
    }

    private boolean isReady() {
        boolean isolated = !stores.hasReachableQuorum() && !mesh.hasDirectPeers() && mesh.hasKnownPeers();
        return accepting && !draining && registry.manifest().isPresent() && !isolated;
    }

    /** Whether the usage of quotas at other nodes is known: this node hears peers, or the platform lists none. */
    private boolean hasFleetUsage() {
        return mesh.hasDirectPeers() || (nodesListed && !mesh.hasKnownPeers());
    }

    private void respondReadiness(HttpExchange exchange) {
        boolean known = exchange.path().equals(context.plugin.readinessPath());
        exchange.respond(known ? (isReady() ? 200 : 503) : 404, "text/plain", "", Map.of());
    }

    private void respondDirectory(HttpExchange exchange) {
        if (!exchange.path().equals(context.plugin.directoryPath())) {
            exchange.respond(404, "text/plain", "", Map.of());
            return;
        }
        List<String> addresses = mesh.readyAddresses();
        if (addresses.isEmpty()) {
            exchange.respond(503, "text/plain", "", Map.of("Retry-After", "0.3"));
            return;
        }
        exchange.respond(
                200,
                "application/json",
                context.plugin.directoryResponse(addresses, DIRECTORY_CACHE_SECONDS),
                Map.of());
    }

    /** Learns from a peer which other nodes there are, and then which runners they have lost. */
    private void handlePeerReady(NodeIdentity peer) {
        introductions.ask(peer);
        lossExchange.peerReady(peer);
    }

    private void receive(byte[] frame) {
        boolean handled = leases.receive(frame)
                || quotaExchange.receive(frame)
                || lossExchange.receive(frame)
                || introductions.receive(frame)
                || mesh.receive(frame);
        if (!handled) {
            calls.receive(frame);
        }
    }

    /** Enables contention control if the settings ask for it; returns its reports to the peers. */
    private FleetReports enableContentionControl() {
        return context.settings
                .contention()
                .map(each -> relay.enableContentionControl(each, context.meters))
                .<FleetReports>map(each -> new ContentionExchange(each, context.loop.clock()::nanos))
                .orElse(FleetReports.NONE);
    }

    private RunnerSpeeds createSpeeds() {
        boolean learns = context.settings
                .contention()
                .filter(ContentionSettings::learnSpeeds)
                .isPresent();
        return new RunnerSpeeds(() -> learns
                && registry.manifest()
                        .filter(RoutingManifest::areStreamsStateful)
                        .isPresent());
    }

    private ReplicaCalls createCalls(TcpFrameSender frames) {
        return new ReplicaCalls(
                context.loop,
                frames,
                self.link(),
                context.random.nextLong(),
                request -> CompletableFuture.failedFuture(
                        new StepException(Step.FORWARD, self.name(), "entry nodes do not store conversations")));
    }

    private RunnerLossExchange createLossExchange(TcpFrameSender frames) {
        return new RunnerLossExchange(
                context.loop,
                frames,
                self.link(),
                mesh::plan,
                relay.losses(),
                relay.losses()::latest,
                relay::resumeWaiting,
                context.meters);
    }

    private QuotaExchange createQuotaExchange(TcpFrameSender frames) {
        return new QuotaExchange(
                context.loop,
                frames,
                self,
                context.random.nextLong(),
                quotas,
                context.settings.quotaPolicy().window(),
                () -> mesh.readyNodes(),
                this::hasFleetUsage,
                context.meters);
    }

    private SlotLeaseExchange createLeases(TcpFrameSender frames) {
        return new SlotLeaseExchange(
                context.loop, frames, self, context.random.nextLong(), leaseFleet(), LeaseLimit.USUAL, context.meters);
    }

    private SlotLeaseExchange.Fleet leaseFleet() {
        return new SlotLeaseExchange.Fleet() {
            @Override
            public boolean isControlled(String service) {
                return contentionControl
                        && mesh.usesHubs()
                        && isControlledEngine(service)
                        && dispatcher.utilization(service) >= MIN_LEASE_UTILIZATION;
            }

            @Override
            public List<NodeIdentity> readyNodes() {
                return mesh.readyNodes();
            }

            @Override
            public List<Runner> runners() {
                return registry.allRunners();
            }

            @Override
            public int reportedLoad(String incarnation) {
                return dispatcher.reportedLoad(incarnation);
            }
        };
    }

    private boolean isControlledEngine(String service) {
        return registry.manifest()
                .filter(RoutingManifest::areStreamsStateful)
                .flatMap(each -> each.service(service))
                .filter(UpstreamService::engine)
                .isPresent();
    }

    private void applyStoreSetChanges(List<SharedObject> changes) {
        forEachReadable(changes, each -> stores.adopt(StoreSetJson.read(each.content())));
    }

    private void applyNodeChanges(List<SharedObject> changes) {
        boolean first = !nodesListed;
        nodesListed = true;
        if (first) {
            publishEntry(ownEntry(changes));
        }
        forEachReadable(changes, each -> mesh.addPeer(NodeIdentity.fromJson(each.content())));
        if (first) {
            introductions.peersListed();
            lossExchange.peersListed();
        }
    }

    /** Passes on entries one by one, so that an unreadable entry does not affect the others. */
    private static void forEachReadable(List<SharedObject> changes, Consumer<SharedObject> consumer) {
        changes.stream().filter(each -> !each.deleted()).forEach(each -> {
            try {
                consumer.accept(each);
            } catch (StepException fault) {
                LOG.log(
                        Logger.Level.WARNING,
                        LogLine.of("entry_unreadable")
                                .with("name", each.name())
                                .with("revision", each.revision())
                                .failure(fault)
                                .toString());
            }
        });
    }

    private Optional<SharedObject> ownEntry(List<SharedObject> entries) {
        return entries.stream()
                .filter(each -> !each.deleted() && each.name().equals(self.name()))
                .findAny();
    }

    /**
     * Publishes this node's entry, with retries, since callers are not sent to a node without an entry. An entry that
     * is already correct is not written again, to save the write and the watch events that it causes.
     */
    private void publishEntry(Optional<SharedObject> currentEntry) {
        if (currentEntry.filter(this::matchesSelf).isPresent()) {
            return;
        }
        OptionalLong revision =
                currentEntry.stream().mapToLong(SharedObject::revision).findAny();
        context.objects
                .put(ObjectKind.NODES, self.name(), revision, self.toJson())
                .whenComplete((written, failure) -> {
                    if (failure != null) {
                        LOG.log(
                                Logger.Level.WARNING,
                                LogLine.of("node_entry_not_written")
                                        .failure(failure)
                                        .toString());
                        context.loop.schedule(ENTRY_RETRY_DELAY, this::retryPublishEntry);
                    } else {
                        context.loop.execute(
                                () -> checkNodesAfter(context.loop.clock().nanos()));
                    }
                });
    }

    /** Requests the entries written before this node's own, which nodes that list at the same time do not see otherwise. */
    private void checkNodesAfter(long writtenNanos) {
        nodes.checkIfStale(Duration.ZERO);
        context.loop.schedule(ENTRY_RETRY_DELAY, () -> {
            Duration sinceWrite = Duration.ofNanos(context.loop.clock().nanos() - writtenNanos);
            if (nodes.staleness().compareTo(sinceWrite) > 0) {
                checkNodesAfter(writtenNanos);
            }
        });
    }

    private boolean matchesSelf(SharedObject entry) {
        try {
            return NodeIdentity.fromJson(entry.content()).equals(self);
        } catch (StepException unreadable) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("own_entry_unreadable").failure(unreadable).toString());
            return false;
        }
    }

    private void retryPublishEntry() {
        context.objects
                .list(ObjectKind.NODES)
                .whenComplete((list, failure) -> context.loop.execute(() -> {
                    if (failure == null) {
                        publishEntry(ownEntry(list.objects()));
                    } else {
                        context.loop.schedule(ENTRY_RETRY_DELAY, this::retryPublishEntry);
                    }
                }));
    }

    private static ObjectWatcher.Listener listener(
            Consumer<List<SharedObject>> changeListener, Consumer<Boolean> reachabilityListener) {
        return new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> changes) {
                changeListener.accept(changes);
            }

            @Override
            public void onReachabilityChanged(boolean reachable) {
                reachabilityListener.accept(reachable);
            }
        };
    }

    private WatchedObjects watch(ObjectKind kind, ObjectWatcher.Listener listener) {
        WatchedObjects objects =
                new WatchedObjects(kind, context.objects, context.loop, context.random, WATCH_WAIT, listener);
        objects.registerGauges(context.meters);
        return objects;
    }
}
