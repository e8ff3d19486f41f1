package org.parsleydrift.roles;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.QuotaPolicy;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.fleet.FleetReports;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.registry.VersionedTable;
import org.parsleydrift.relay.Dispatcher;

/** Mesh of one entry node on virtual time; frames to other members take 1 ms. */
final class MeshMember {
    final NodeIdentity identity;
    final VersionedTable runners = new VersionedTable();
    final Map<ObjectKind, Long> latestRevisions = new EnumMap<>(ObjectKind.class);
    final Map<ObjectKind, WatchedObjects> watched = new EnumMap<>(ObjectKind.class);
    int outages;
    final List<SharedObject> appliedChanges = new ArrayList<>();
    final NodeMesh mesh;
    final QuotaTracker quotas;
    boolean ready = true;
    BooleanSupplier reachesStores = () -> true;
    boolean disconnected;
    int sentFrames;
    long receivedBytes;
    FleetReport ownReport = FleetReport.NONE;
    FleetReport othersReport = FleetReport.NONE;
    int reportUpdates;
    private final Map<String, MeshMember> members;
    final ManualEventLoop loop;
    final FrameSender frames = sender();
    /** Receives the frames that are not of the mesh. */
    Consumer<byte[]> otherFrames = frame -> {};

    private final Random random;

    /** A member that receives runners from its peers only. */
    MeshMember(ManualScheduler time, Map<String, MeshMember> members, String name, String zone) {
        this(time, members, name, zone, Optional.empty(), 2);
    }

    /** A member that also watches runners and the manifest on the platform. */
    MeshMember(
            ManualScheduler time,
            Map<String, MeshMember> members,
            String name,
            String zone,
            SharedObjects platform,
            long seed) {
        this(time, members, name, zone, Optional.of(platform), seed);
    }

    private MeshMember(
            ManualScheduler time,
            Map<String, MeshMember> members,
            String name,
            String zone,
            Optional<SharedObjects> platform,
            long seed) {
        this.members = members;
        random = new Random(seed);
        loop = time.newLoop();
        identity = new NodeIdentity(name, zone, name + ":80", name);
        Registry registry = new Registry(loop, new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                throw new UnsupportedOperationException();
            }

            @Override
            public Runner decodeRunner(String runner, byte[] content) {
                throw new UnsupportedOperationException();
            }
        });
        Dispatcher dispatcher = new Dispatcher(registry, new Random(1), "z", time::nanos);
        quotas = new QuotaTracker(time::nanos, random, new QuotaPolicy(Duration.ofSeconds(5), 20, 0.1), () -> true);
        mesh = new NodeMesh(
                loop,
                frames,
                identity,
                new FleetUsage(dispatcher, quotas, fleetReports()),
                () -> ready,
                () -> reachesStores.getAsBoolean(),
                random,
                platform.map(this::watchAll).orElseGet(() -> Map.of(ObjectKind.RUNNERS, peersOnly())),
                enabled -> {});
        mesh.start();
    }

    /** Ends the process: it sends and receives no frames, and sends no requests to the platform. */
    void kill() {
        disconnected = true;
        loop.kill();
    }

    private Map<ObjectKind, WatchedKind> watchAll(SharedObjects platform) {
        return Stream.of(ObjectKind.RUNNERS, ObjectKind.MANIFEST)
                .collect(Collectors.toMap(kind -> kind, kind -> watch(kind, platform)));
    }

    private WatchedObjects watch(ObjectKind kind, SharedObjects platform) {
        WatchedObjects objects =
                new WatchedObjects(kind, platform, loop, random, EntryRole.WATCH_WAIT, new ObjectWatcher.Listener() {
                    @Override
                    public void onChanges(List<SharedObject> changes) {
                        changes.forEach(each -> latestRevisions.merge(kind, each.revision(), Math::max));
                    }

                    @Override
                    public void onReachabilityChanged(boolean reachable) {
                        outages += reachable ? 0 : 1;
                    }
                });
        watched.put(kind, objects);
        loop.execute(objects::start);
        return objects;
    }

    private void receive(byte[] frame) {
        if (!mesh.receive(frame)) {
            otherFrames.accept(frame);
        }
    }

    private FrameSender sender() {
        return new FrameSender() {
            @Override
            public void send(String address, byte[] frame) {
                MeshMember to = members.get(address);
                sentFrames++;
                if (to != null && !disconnected && !to.disconnected) {
                    to.receivedBytes += frame.length;
                    to.loop.schedule(Duration.ofMillis(1), () -> to.receive(frame));
                }
            }

            @Override
            public void reset(String address) {}
        };
    }

    private FleetReports fleetReports() {
        return new FleetReports() {
            @Override
            public FleetReport own() {
                return ownReport;
            }

            @Override
            public void update(FleetReport othersTotal, Duration age) {
                othersReport = othersTotal;
                reportUpdates++;
            }
        };
    }

    private WatchedKind peersOnly() {
        return new WatchedKind() {
            @Override
            public long asOf() {
                return runners.asOf();
            }

            @Override
            public long latestRevision() {
                return runners.latestRevision();
            }

            @Override
            public List<SharedObject> present() {
                return runners.present();
            }

            @Override
            public void checkIfStale(Duration maxStaleness) {}

            @Override
            public Duration staleness() {
                return Duration.ZERO;
            }

            @Override
            public boolean isPlatformReachable() {
                return true;
            }

            @Override
            public Optional<Duration> ownStaleness() {
                return Optional.empty();
            }

            @Override
            public void recordCompleteAt(long nanos) {}

            @Override
            public void setWatching(boolean enabled) {}

            @Override
            public void setChangeListener(Consumer<List<SharedObject>> listener) {}

            @Override
            public void applyChanges(ObjectChanges changes, long latestRevision, long completeNanos) {
                appliedChanges.addAll(runners.apply(changes));
                runners.advanceLatestRevision(latestRevision);
            }

            @Override
            public void applyList(ObjectChanges list, long latestRevision, long completeNanos) {
                appliedChanges.addAll(runners.replace(list));
                runners.advanceLatestRevision(latestRevision);
            }
        };
    }
}
