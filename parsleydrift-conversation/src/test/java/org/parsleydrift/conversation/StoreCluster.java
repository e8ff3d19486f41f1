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

/** Store VMs and entry nodes on virtual time, with links that can be cut and disks that can be lost. */
final class StoreCluster {
    static final Duration RETENTION = Duration.ofSeconds(60);
    private static final Duration LINK = Duration.ofMillis(1);
    private static final Duration POLL = Duration.ofMillis(50);

    final ManualScheduler time = new ManualScheduler();
    final InMemorySharedObjects objects = new InMemorySharedObjects(time.newLoop(), Duration.ofMillis(4));
    final Map<String, Store> stores = new HashMap<>();
    private final Map<String, Consumer<byte[]>> receivers = new HashMap<>();
    private final Set<String> cut = new HashSet<>();
    private final Set<String> cutFromStores = new HashSet<>();
    private final List<Held> held = new ArrayList<>();
    private Predicate<Held> holds = frame -> false;
    private int diskCount;
    private int sentFrames;
    private int toleratedLosses = 1;
    private int mostMembers = Integer.MAX_VALUE;

    /** A frame that a test holds back. */
    record Held(String from, String to, byte[] bytes) {}

    /** One store VM. */
    final class Store {
        final String name;
        final MemoryDurableLog disk;
        ManualEventLoop loop;
        ConversationReplica replica;
        boolean watches = true;
        boolean alive;

        private Store(String name, MemoryDurableLog disk) {
            this.name = name;
            this.disk = disk;
        }

        private void boot(boolean firstStart) {
            alive = true;
            loop = time.newLoop();
            disk.open(loop);
            replica = new ConversationReplica(loop, disk, name, () -> "disk" + ++diskCount);
            ReplicaCalls calls = new ReplicaCalls(loop, sender(name), name, replica);
            receivers.put(name, frame -> loop.execute(() -> calls.receive(frame)));
            StoreSetController keeper = new StoreSetController(
                    loop, objects, replica, calls, name, name, firstStart, toleratedLosses, mostMembers);
            replica.start(calls);
            keeper.setWatchListener(follows -> watches = follows);
            poll(loop, ObjectKind.STORE_SET, news -> {
                if (watches) {
                    keeper.onSetChanged(news);
                }
            });
            poll(loop, ObjectKind.RETIREMENTS, keeper::onRetirementsChanged);
            keeper.start();
        }

        void die() {
            alive = false;
            loop.kill();
            receivers.remove(name);
        }
    }

    private void poll(ManualEventLoop loop, ObjectKind kind, Consumer<List<SharedObject>> news) {
        loop.scheduleWithFixedDelay(
                POLL, () -> objects.list(kind).thenAccept(list -> loop.execute(() -> news.accept(list.objects()))));
    }

    Store add(String name, boolean firstStart) {
        Store store = new Store(name, new MemoryDurableLog());
        stores.put(name, store);
        store.boot(firstStart);
        return store;
    }

    /** The process starts again on the same disk. */
    void restart(String name) {
        Store store = stores.get(name);
        store.die();
        store.boot(false);
    }

    /** The process starts again with an empty disk. */
    void wipe(String name) {
        stores.get(name).die();
        add(name, false);
    }

    /** Starts a set of three. */
    static StoreCluster ofThree() {
        return of(List.of("a", "b", "c"));
    }

    /** Starts a set of VMs with these names. */
    static StoreCluster of(List<String> names) {
        return of(names, 1);
    }

    /** Starts a set of VMs of which some disks may be lost at once. */
    static StoreCluster of(List<String> names, int toleratedLosses) {
        StoreCluster cluster = new StoreCluster();
        cluster.toleratedLosses = toleratedLosses;
        names.forEach(name -> cluster.add(name, true));
        cluster.run(Duration.ofSeconds(3));
        return cluster;
    }

    /** Starts a set that is kept at the least number of members that bears some losses; the other VMs stand by. */
    static StoreCluster withStandbys(List<String> names, int toleratedLosses) {
        StoreCluster cluster = new StoreCluster();
        cluster.toleratedLosses = toleratedLosses;
        cluster.mostMembers = 2 * toleratedLosses + 1;
        names.forEach(name -> cluster.add(name, true));
        cluster.run(Duration.ofSeconds(3));
        return cluster;
    }

    /** Frames that were sent so far, those that were lost included. */
    int sentFrames() {
        return sentFrames;
    }

    void cut(String name) {
        cut.add(name);
    }

    /** Cuts an entry node off from all store VMs, but not from other entry nodes. */
    void cutFromStores(String entry) {
        cutFromStores.add(entry);
    }

    void heal(String name) {
        cut.remove(name);
        cutFromStores.remove(name);
    }

    /** Holds back frames until {@link #letGo}. */
    void hold(Predicate<Held> which) {
        holds = which;
    }

    void letGo() {
        holds = frame -> false;
        List<Held> frames = List.copyOf(held);
        held.clear();
        frames.forEach(frame -> deliver(frame.to(), frame.bytes()));
    }

    void run(Duration span) {
        time.advance(span);
    }

    Conversations entry(String name) {
        return entry(name, Optional.empty());
    }

    /** An entry node that may ask store VMs over a peer. */
    Conversations entry(String name, Optional<String> peer) {
        ManualEventLoop loop = time.newLoop();
        ReplicaCalls calls = new ReplicaCalls(loop, sender(name), name, request -> new CompletableFuture<>());
        receivers.put(name, frame -> loop.execute(() -> calls.receive(frame)));
        calls.setRelayFinder(() -> peer);
        ConversationClient client = new ConversationClient(loop, calls);
        poll(loop, ObjectKind.STORE_SET, news -> news.forEach(each -> client.adopt(StoreSetJson.read(each.content()))));
        return new Conversations(client);
    }

    static BeginRequest begin(String program, String request, int budget, int most, String previous) {
        return new BeginRequest(
                program, request, OptionalInt.of(budget), most, previous, RETENTION, Duration.ofSeconds(1));
    }

    /** Runs until a result is there. */
    <T> T await(CompletableFuture<T> future) {
        for (int i = 0; i < 5000 && !future.isDone(); i++) {
            run(Duration.ofMillis(1));
        }
        return future.join();
    }

    void keepTurn(Conversations entry, String id, String previous, String input, String output) {
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
                Held sent = new Held(from, address, frame);
                sentFrames++;
                boolean toStore = stores.containsKey(address) && cutFromStores.contains(from);
                boolean fromStore = stores.containsKey(from) && cutFromStores.contains(address);
                if (cut.contains(from) || cut.contains(address) || toStore || fromStore) {
                    return;
                }
                if (holds.test(sent)) {
                    held.add(sent);
                    return;
                }
                deliver(address, frame);
            }

            @Override
            public void reset(String address) {}
        };
    }

    private void deliver(String address, byte[] frame) {
        time.newLoop().schedule(LINK, () -> {
            Consumer<byte[]> receiver = receivers.get(address);
            if (receiver != null) {
                receiver.accept(frame);
            }
        });
    }
}
