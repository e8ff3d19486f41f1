package org.parsleydrift.roles;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.QuotaPolicy;
import org.parsleydrift.placement.QuotaTracker;
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

/** An entry node's mesh on virtual time, linked to the others by a network with 1 ms of delay. */
final class MeshMember {
    final NodeIdentity identity;
    final VersionedTable runners = new VersionedTable();
    final Map<ObjectKind, Long> newest = new EnumMap<>(ObjectKind.class);
    final Map<ObjectKind, FollowedObjects> following = new EnumMap<>(ObjectKind.class);
    int silences;
    final List<SharedObject> learned = new ArrayList<>();
    final NodeMesh mesh;
    final QuotaTracker allotments;
    boolean ready = true;
    boolean reachesStores = true;
    boolean cut;
    int sent;
    long heardBytes;
    private final Map<String, MeshMember> members;
    private final ManualEventLoop loop;
    private final Random random;

    /** A member that learns of runners from its peers alone. */
    MeshMember(ManualScheduler time, Map<String, MeshMember> members, String name, String zone) {
        this(time, members, name, zone, Optional.empty(), 2);
    }

    /** A member that follows runners and the manifest at the platform too. */
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
        allotments = new QuotaTracker(time::nanos, random, new QuotaPolicy(Duration.ofSeconds(5), 20), () -> true);
        mesh = new NodeMesh(
                loop,
                sender(),
                identity,
                new FleetUse(dispatcher, allotments),
                () -> ready,
                () -> reachesStores,
                random,
                platform.map(this::following).orElseGet(() -> Map.of(ObjectKind.RUNNERS, followed())),
                watches -> {});
        mesh.start();
    }

    /** Ends the process: it neither speaks nor hears, and asks the platform for nothing. */
    void kill() {
        cut = true;
        loop.kill();
    }

    private Map<ObjectKind, FollowedKind> following(SharedObjects platform) {
        return Stream.of(ObjectKind.RUNNERS, ObjectKind.MANIFEST)
                .collect(Collectors.toMap(kind -> kind, kind -> followed(kind, platform)));
    }

    private FollowedObjects followed(ObjectKind kind, SharedObjects platform) {
        FollowedObjects objects =
                new FollowedObjects(kind, platform, loop, random, EntryRole.WATCH_WAIT, new ObjectWatcher.Listener() {
                    @Override
                    public void onChanges(List<SharedObject> news) {
                        news.forEach(each -> newest.merge(kind, each.revision(), Math::max));
                    }

                    @Override
                    public void onReachabilityChanged(boolean reached) {
                        silences += reached ? 0 : 1;
                    }
                });
        following.put(kind, objects);
        loop.execute(objects::start);
        return objects;
    }

    private FrameSender sender() {
        return new FrameSender() {
            @Override
            public void send(String address, byte[] frame) {
                MeshMember to = members.get(address);
                sent++;
                if (to != null && !cut && !to.cut) {
                    to.heardBytes += frame.length;
                    to.loop.schedule(Duration.ofMillis(1), () -> to.mesh.receive(frame));
                }
            }

            @Override
            public void reset(String address) {}
        };
    }

    private FollowedKind followed() {
        return new FollowedKind() {
            @Override
            public long asOf() {
                return runners.asOf();
            }

            @Override
            public long newestChange() {
                return runners.newestChange();
            }

            @Override
            public List<SharedObject> present() {
                return runners.present();
            }

            @Override
            public void lookAtAge(Duration checkAfter) {}

            @Override
            public Duration age() {
                return Duration.ZERO;
            }

            @Override
            public boolean answered() {
                return true;
            }

            @Override
            public Optional<Duration> answeredAge() {
                return Optional.empty();
            }

            @Override
            public void completeAt(long nanos) {}

            @Override
            public void follow(boolean watches) {}

            @Override
            public void onNews(Consumer<List<SharedObject>> taker) {}

            @Override
            public void learnChanges(ObjectChanges changes, long newestChange, long completeNanos) {
                learned.addAll(runners.apply(changes));
                runners.knows(newestChange);
            }

            @Override
            public void learn(ObjectChanges list, long newestChange, long completeNanos) {
                learned.addAll(runners.replace(list));
                runners.knows(newestChange);
            }
        };
    }
}
