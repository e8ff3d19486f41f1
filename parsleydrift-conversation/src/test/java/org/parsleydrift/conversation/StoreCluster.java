package org.parsleydrift.conversation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.standin.InMemorySharedObjects;

/** Simulated store VMs and entry nodes on virtual time, with network partitions and disk losses. */
final class StoreCluster {
    static final Duration RETENTION = Duration.ofSeconds(60);
    private static final Duration LINK_LATENCY = Duration.ofMillis(1);
    private static final Duration POLL_PERIOD = Duration.ofMillis(50);

    final ManualScheduler time = new ManualScheduler();
    final InMemorySharedObjects objects = new InMemorySharedObjects(time.newLoop(), Duration.ofMillis(4));
    final Map<String, Store> stores = new HashMap<>();
    private final Map<String, Consumer<byte[]>> receivers = new HashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> partitionedFromStores = new HashSet<>();
    private final List<Frame> delayedFrames = new ArrayList<>();
    private Predicate<Frame> delayFilter = frame -> false;
    private int diskCount;
    private int sentFrames;
    private int toleratedLosses = 1;
    private int maxMembers = Integer.MAX_VALUE;
    private long maxRecordBytes = Long.MAX_VALUE;
    /** Size of the largest frame that a receiver accepts, bytes. */
    private int maxFrameBytes = 4 << 20;

    private int bytesPerMilli = Integer.MAX_VALUE;

    /** A frame in transit, which a test may delay. */
    record Frame(String from, String to, byte[] bytes) {}

    /** One store VM. */
    final class Store {
        final String name;
        final MemoryDurableLog disk;
        ManualEventLoop loop;
        ConversationReplica replica;
        boolean isWatcher = true;
        boolean isAlive;

        private Store(String name, MemoryDurableLog disk) {
            this.name = name;
            this.disk = disk;
        }

        private void boot(boolean firstStart) {
            isAlive = true;
            loop = time.newLoop();
            disk.open(loop);
            replica = new ConversationReplica(loop, disk, name, () -> "disk" + ++diskCount, maxRecordBytes);
            ReplicaCalls calls = new ReplicaCalls(loop, sender(name), name, replica);
            receivers.put(name, frame -> loop.execute(() -> calls.receive(frame)));
            StoreSetController controller = new StoreSetController(
                    loop, objects, replica, calls, name, name, firstStart, toleratedLosses, maxMembers);
            replica.start(calls);
            controller.setWatchListener(isRequired -> isWatcher = isRequired);
            poll(loop, ObjectKind.STORE_SET, changes -> {
                if (isWatcher) {
                    controller.onSetChanged(changes);
                }
            });
            poll(loop, ObjectKind.RETIREMENTS, controller::onRetirementsChanged);
            controller.start();
        }

        void stop() {
            isAlive = false;
            loop.kill();
            receivers.remove(name);
        }
    }

    private void poll(ManualEventLoop loop, ObjectKind kind, Consumer<List<SharedObject>> listener) {
        loop.scheduleWithFixedDelay(
                POLL_PERIOD,
                () -> objects.list(kind).thenAccept(list -> loop.execute(() -> listener.accept(list.objects()))));
    }

    Store add(String name, boolean firstStart) {
        Store store = new Store(name, new MemoryDurableLog());
        stores.put(name, store);
        store.boot(firstStart);
        return store;
    }

    /** Restarts a store VM with its disk. */
    void restart(String name) {
        Store store = stores.get(name);
        store.stop();
        store.boot(false);
    }

    /** Restarts a store VM with an empty disk. */
    void wipe(String name) {
        stores.get(name).stop();
        add(name, false);
    }

    static StoreCluster ofThree() {
        return of(List.of("a", "b", "c"));
    }

    /** Starts a set whose members have limited memory for records. */
    static StoreCluster ofThree(long maxRecordBytes) {
        StoreCluster cluster = new StoreCluster();
        cluster.maxRecordBytes = maxRecordBytes;
        List.of("a", "b", "c").forEach(name -> cluster.add(name, true));
        cluster.run(Duration.ofSeconds(3));
        return cluster;
    }

    static StoreCluster of(List<String> names) {
        return of(names, 1);
    }

    /** Starts a set without a maximum size. */
    static StoreCluster of(List<String> names, int toleratedLosses) {
        StoreCluster cluster = new StoreCluster();
        cluster.toleratedLosses = toleratedLosses;
        names.forEach(name -> cluster.add(name, true));
        cluster.run(Duration.ofSeconds(3));
        return cluster;
    }

    /** Starts a set of the smallest size that tolerates the given losses; the other VMs are standbys. */
    static StoreCluster withStandbys(List<String> names, int toleratedLosses) {
        StoreCluster cluster = new StoreCluster();
        cluster.toleratedLosses = toleratedLosses;
        cluster.maxMembers = 2 * toleratedLosses + 1;
        names.forEach(name -> cluster.add(name, true));
        cluster.run(Duration.ofSeconds(3));
        return cluster;
    }

    /** Returns the number of frames sent so far, including lost ones. */
    int sentFrames() {
        return sentFrames;
    }

    void partition(String name) {
        partitioned.add(name);
    }

    /** Partitions an entry node from all store VMs, but not from other entry nodes. */
    void partitionFromStores(String entry) {
        partitionedFromStores.add(entry);
    }

    void heal(String name) {
        partitioned.remove(name);
        partitionedFromStores.remove(name);
    }

    /** Delays the frames that match until {@link #releaseFrames}. */
    void delayFrames(Predicate<Frame> filter) {
        delayFilter = filter;
    }

    void releaseFrames() {
        delayFilter = frame -> false;
        List<Frame> frames = List.copyOf(delayedFrames);
        delayedFrames.clear();
        frames.forEach(frame -> deliver(frame.to(), frame.bytes()));
    }

    void run(Duration span) {
        time.advance(span);
    }

    void setMaxFrameBytes(int bytes) {
        maxFrameBytes = bytes;
    }

    /** Sets the rate of the links, each of which delays a frame by its size, bytes per ms. */
    void setLinkRate(int bytes) {
        bytesPerMilli = bytes;
    }

    Conversations entry(String name) {
        return entry(name, Optional.empty());
    }

    /** Starts an entry node that may relay requests to store VMs through a peer. */
    Conversations entry(String name, Optional<String> peer) {
        return entry(name, peer, Long.MAX_VALUE);
    }

    /** Starts an entry node that may relay requests, and whose chains may have some size in all. */
    Conversations entry(String name, Optional<String> peer, long maxChainBytes) {
        ManualEventLoop loop = time.newLoop();
        ReplicaCalls calls = new ReplicaCalls(loop, sender(name), name, request -> new CompletableFuture<>());
        receivers.put(name, frame -> loop.execute(() -> calls.receive(frame)));
        calls.setForwarders(store -> peer);
        ConversationClient client = new ConversationClient(loop, calls);
        poll(
                loop,
                ObjectKind.STORE_SET,
                changes -> changes.forEach(each -> client.adopt(StoreSetJson.read(each.content()))));
        return new Conversations(client, new ChainMemory(maxChainBytes));
    }

    static BeginRequest beginRequest(String program, String request, int budget, int maxTokens, String previous) {
        return new BeginRequest(
                program, request, OptionalInt.of(budget), maxTokens, previous, RETENTION, Duration.ofSeconds(1));
    }

    /** Advances the time until a future completes, for 5 s at most. */
    <T> T await(CompletableFuture<T> future) {
        for (int i = 0; i < 5000 && !future.isDone(); i++) {
            run(Duration.ofMillis(1));
        }
        return future.join();
    }

    void commitTurn(Conversations entry, String id, String previous, String input, String output) {
        await(entry.commit(
                Optional.of(new Grant("p", id, GrantState.SETTLED, 10, "r1")),
                Optional.of(new Turn(id, previous, input.getBytes(UTF_8), output.getBytes(UTF_8))),
                RETENTION,
                Duration.ofSeconds(1)));
    }

    private FrameSender sender(String from) {
        return new FrameSender() {
            @Override
            public void send(String address, byte[] frame) {
                Frame sent = new Frame(from, address, frame);
                sentFrames++;
                boolean toStore = stores.containsKey(address) && partitionedFromStores.contains(from);
                boolean fromStore = stores.containsKey(from) && partitionedFromStores.contains(address);
                if (frame.length > maxFrameBytes) {
                    return;
                }
                if (partitioned.contains(from) || partitioned.contains(address) || toStore || fromStore) {
                    return;
                }
                if (delayFilter.test(sent)) {
                    delayedFrames.add(sent);
                    return;
                }
                deliver(address, frame);
            }

            @Override
            public int maxFrameBytes() {
                return maxFrameBytes;
            }

            @Override
            public void reset(String address) {}
        };
    }

    private void deliver(String address, byte[] frame) {
        time.newLoop().schedule(LINK_LATENCY.plusMillis(frame.length / bytesPerMilli), () -> {
            Consumer<byte[]> receiver = receivers.get(address);
            if (receiver != null) {
                receiver.accept(frame);
            }
        });
    }
}
