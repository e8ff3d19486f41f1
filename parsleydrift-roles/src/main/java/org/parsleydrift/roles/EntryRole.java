package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleydrift.conversation.ConversationClient;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.StoreSetJson;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.VersionedTable;
import org.parsleydrift.relay.CallerServer;
import org.parsleydrift.relay.Dispatcher;
import org.parsleydrift.relay.Relay;
import org.parsleydrift.wire.HttpExchange;

/** The entry role: serves callers, tells them which addresses to use, follows the platform and its peers. */
final class EntryRole implements Role {
    private static final Logger LOG = System.getLogger(EntryRole.class.getName());
    /** Longest wait of a watch of runners and manifest; one that went silent is noticed sooner, by a check. */
    static final Duration WATCH_WAIT = Duration.ofSeconds(24);
    /** Longest wait of a watch for what changes rarely. */
    private static final Duration RARE_WATCH_WAIT = Duration.ofSeconds(25);
    /** How long callers keep the list of addresses, s; short, so that they leave a stopping node soon. */
    private static final int KEEP_SECONDS = 1;
    /** Connections for readiness and directory each. */
    private static final int SMALL_SERVER_CONNECTIONS = 512;
    /** After SIGTERM callers with an old list still come for about this share of the grace time. */
    private static final double OPEN_SHARE = 0.6;
    /** Share of the grace time after which the process ends, whatever is still open. */
    private static final double END_SHARE = 0.93;

    private static final Duration DRAIN_CHECK = Duration.ofMillis(50);
    private static final Duration ENTRY_RETRY = Duration.ofMillis(700);

    private final ProcessParts parts;
    private final NodeIdentity self;
    private final Registry registry;
    private final ConversationClient stores;
    private final ReplicaCalls calls;
    private final QuotaTracker allotments;
    private final Dispatcher dispatcher;
    private final Relay relay;
    private final NodeMesh mesh;
    private final FollowedObjects runners;
    private final FollowedObjects manifests;
    private final FollowedObjects storeSets;
    private final ObjectWatcher nodes;
    private final CallerServer callers;
    private volatile boolean draining;
    private boolean entrySought;

    EntryRole(ProcessParts parts) {
        this.parts = parts;
        RoleSettings settings = parts.settings;
        self = new NodeIdentity(
                settings.vm(),
                settings.zone(),
                settings.callers().orElseThrow().toString(),
                settings.link().toString());
        registry = new Registry(parts.loop, parts.outside.decoder());
        LinkFrames frames = new LinkFrames(parts, this::receive);
        calls = new ReplicaCalls(
                parts.loop,
                frames,
                self.link(),
                request -> CompletableFuture.failedFuture(
                        new StepException(Step.FORWARD, self.name(), "an entry node keeps no conversations")));
        stores = new ConversationClient(parts.loop, calls);
        allotments = new QuotaTracker(
                parts.loop.clock()::nanos, parts.random, settings.allotmentRule(), this::knowsFleetsUse);
        dispatcher = new Dispatcher(registry, parts.random, settings.zone(), parts.loop.clock()::nanos);
        relay = new Relay(
                parts.threads,
                parts.loop,
                registry,
                dispatcher,
                new Conversations(stores),
                allotments,
                parts.outside.headerNames(),
                parts.random,
                parts.meters);
        runners = followed(ObjectKind.RUNNERS, listener(registry::applyRunnerChanges, registry::setPlatformReachable));
        manifests =
                followed(ObjectKind.MANIFEST, listener(registry::applyManifestChanges, registry::setManifestCurrent));
        storeSets = followed(ObjectKind.STORE_SET, listener(this::storeSetChanged, reached -> {}));
        nodes = parts.follow(
                ObjectKind.NODES, RARE_WATCH_WAIT, new VersionedTable(), listener(this::nodesChanged, reached -> {}));
        // Peers name each other; until the mesh has decided who watches for new ones, the list is enough.
        nodes.follow(false);
        mesh = new NodeMesh(
                parts.loop,
                frames,
                self,
                new FleetUse(dispatcher, allotments),
                this::ready,
                stores::hasReachableQuorum,
                parts.random,
                Map.of(ObjectKind.RUNNERS, runners, ObjectKind.MANIFEST, manifests, ObjectKind.STORE_SET, storeSets),
                nodes::follow);
        calls.setRelayFinder(mesh::peerThatReachesStores);
        callers = new CallerServer(
                parts.threads,
                parts.loop,
                settings.callers().orElseThrow().socket(),
                relay,
                () -> registry.manifest().map(RoutingManifest::limits).orElseGet(CallerLimits::defaults));
        parts.serve(settings.readiness().orElseThrow(), SMALL_SERVER_CONNECTIONS, this::readiness);
        parts.serve(settings.directory().orElseThrow(), SMALL_SERVER_CONNECTIONS, this::directory);
        parts.meters.gauge("parsleydrift.requests.open", relay, Relay::openRequests);
        parts.meters.gauge("parsleydrift.requests.waiting", dispatcher, Dispatcher::queueLength);
    }

    @Override
    public void start() {
        parts.loop.execute(() -> {
            runners.start();
            manifests.start();
            storeSets.start();
            nodes.start();
            mesh.start();
        });
    }

    @Override
    public void drain() {
        LOG.log(Logger.Level.INFO, LogLine.of("drain_begun").toString());
        draining = true;
        CountDownLatch ended = new CountDownLatch(1);
        long begun = parts.loop.clock().nanos();
        parts.loop.execute(() -> {
            mesh.tellNow();
            callers.drain();
            parts.loop.scheduleWithFixedDelay(DRAIN_CHECK, () -> drainStep(begun, ended));
        });
        try {
            long most = (long) (parts.settings.grace().toMillis() * END_SHARE);
            boolean whole = ended.await(most, TimeUnit.MILLISECONDS);
            LOG.log(
                    Logger.Level.INFO,
                    LogLine.of("drain_ended").with("whole", whole).toString());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void reload(RoleSettings settings) {
        // Addresses can't change in a running process; all else is learned from the platform.
        boolean changed = !settings.equals(parts.settings);
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("settings_reloaded").with("changed", changed).toString());
    }

    private void drainStep(long begunNanos, CountDownLatch ended) {
        long sinceMillis = (parts.loop.clock().nanos() - begunNanos) / 1_000_000;
        if (sinceMillis > parts.settings.grace().toMillis() * OPEN_SHARE) {
            callers.closeIdleConnections();
            if (relay.openRequests() == 0 && callers.openConnections() == 0) {
                ended.countDown();
            }
        }
    }

    private boolean ready() {
        boolean cutOff = !stores.hasReachableQuorum() && !mesh.hearsAnyone() && mesh.hasKnownPeers();
        return !draining && registry.manifest().isPresent() && !cutOff;
    }

    /** A node that hears none of its peers, or doesn't know yet whether it has any, can't tell what teams have used. */
    private boolean knowsFleetsUse() {
        return mesh.hearsAnyone() || (entrySought && !mesh.hasKnownPeers());
    }

    private void readiness(HttpExchange exchange) {
        boolean known = exchange.path().equals(parts.outside.readinessPath());
        exchange.respond(known ? (ready() ? 200 : 503) : 404, "text/plain", "", Map.of());
    }

    private void directory(HttpExchange exchange) {
        if (!exchange.path().equals(parts.outside.directoryPath())) {
            exchange.respond(404, "text/plain", "", Map.of());
            return;
        }
        List<String> addresses = mesh.readyAddresses();
        if (addresses.isEmpty()) {
            exchange.respond(503, "text/plain", "", Map.of("Retry-After", "0.3"));
            return;
        }
        exchange.respond(200, "application/json", parts.outside.directoryResponse(addresses, KEEP_SECONDS), Map.of());
    }

    private void receive(byte[] frame) {
        if (!mesh.receive(frame)) {
            calls.receive(frame);
        }
    }

    private void storeSetChanged(List<SharedObject> news) {
        forEachReadable(news, each -> stores.adopt(StoreSetJson.read(each.content())));
    }

    private void nodesChanged(List<SharedObject> news) {
        if (!entrySought) {
            entrySought = true;
            writeEntry(ownEntry(news));
        }
        forEachReadable(news, each -> mesh.known(NodeIdentity.read(each.content())));
    }

    /** One entry that another writer has spoilt keeps none of the others from being taken in. */
    private static void forEachReadable(List<SharedObject> news, Consumer<SharedObject> taker) {
        news.stream().filter(each -> !each.deleted()).forEach(each -> {
            try {
                taker.accept(each);
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
     * Names this node to its peers; tried until it is done, since a node that no peer knows gets no callers. A node that
     * starts again at its address finds its entry as it should be: written anew, it would cost a fleet that starts again a
     * write a node, and each of its watches an answer.
     */
    private void writeEntry(Optional<SharedObject> present) {
        if (present.filter(this::namesSelf).isPresent()) {
            return;
        }
        OptionalLong revision =
                present.stream().mapToLong(SharedObject::revision).findAny();
        parts.objects.put(ObjectKind.NODES, self.name(), revision, self.json()).whenComplete((written, failure) -> {
            if (failure != null) {
                LOG.log(
                        Logger.Level.WARNING,
                        LogLine.of("node_entry_not_written").failure(failure).toString());
                parts.loop.schedule(ENTRY_RETRY, this::writeEntryAnew);
            }
        });
    }

    private boolean namesSelf(SharedObject entry) {
        try {
            return NodeIdentity.read(entry.content()).equals(self);
        } catch (StepException unreadable) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("own_entry_unreadable").failure(unreadable).toString());
            return false;
        }
    }

    private void writeEntryAnew() {
        parts.objects
                .list(ObjectKind.NODES)
                .whenComplete((list, failure) -> parts.loop.execute(() -> {
                    if (failure == null) {
                        writeEntry(ownEntry(list.objects()));
                    } else {
                        parts.loop.schedule(ENTRY_RETRY, this::writeEntryAnew);
                    }
                }));
    }

    private static ObjectWatcher.Listener listener(
            Consumer<List<SharedObject>> news, Consumer<Boolean> platformReached) {
        return new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> changed) {
                news.accept(changed);
            }

            @Override
            public void onReachabilityChanged(boolean reached) {
                platformReached.accept(reached);
            }
        };
    }

    private FollowedObjects followed(ObjectKind kind, ObjectWatcher.Listener listener) {
        FollowedObjects objects =
                new FollowedObjects(kind, parts.objects, parts.loop, parts.random, WATCH_WAIT, listener);
        objects.measure(parts.meters);
        return objects;
    }
}
