package org.parsleydrift.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.kernel.platform.VmEntry;

/**
 * A stand-in for the platform's object API: versions, conditional updates, watches, a rate allowance, and the faults
 * that the brief names. All state is confined to its loop; methods may be called from any thread.
 */
public final class InMemoryObjectStore implements ObjectStore {
    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final Duration WATCH_LIMIT = Duration.ofSeconds(20);
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final EventLoop loop;
    private final RandomGenerator random;
    private final Duration latency;
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private List<VmEntry> vms = List.of();
    private PlatformFaults faults = PlatformFaults.NONE;
    private long nextVersion = 1;
    private long windowStartNanos;
    private int windowCalls;
    private long reads;
    private long writes;
    private long refused;

    /**
     * Makes an empty platform.
     *
     * @param loop the loop that owns its state
     * @param random chance, for lost answers
     * @param latency how long each answer takes
     */
    public InMemoryObjectStore(EventLoop loop, RandomGenerator random, Duration latency) {
        this.loop = loop;
        this.random = random;
        this.latency = latency;
    }

    /**
     * Switches faults on or off.
     *
     * @param now what is wrong from now on
     */
    public void faults(PlatformFaults now) {
        loop.execute(() -> faults = now);
    }

    /**
     * Sets the list of VMs.
     *
     * @param rows the list
     */
    public void vms(List<VmEntry> rows) {
        List<VmEntry> copy = List.copyOf(rows);
        loop.execute(() -> vms = copy);
    }

    /**
     * Counts of calls since the start.
     *
     * @return reads, writes and refused calls
     */
    public Map<String, Long> counts() {
        return Map.of("reads", reads, "writes", writes, "refused", refused);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String key) {
        return call(key, false, () -> Optional.ofNullable(objects.get(key)));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
        return call(key, true, () -> {
            if (objects.containsKey(key)) {
                throw new StoreException(StoreFailure.CONFLICT, key);
            }
            return put(key, value);
        });
    }

    @Override
    public CompletableFuture<Long> update(String key, long version, byte[] value) {
        return call(key, true, () -> {
            StoredObject present = objects.get(key);
            if (present == null || present.version() != version) {
                throw new StoreException(StoreFailure.CONFLICT, key);
            }
            return put(key, value);
        });
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return call(key, true, () -> {
            objects.remove(key);
            return null;
        });
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix) {
        return call(
                prefix,
                false,
                () -> objects.tailMap(prefix, true).values().stream()
                        .takeWhile(object -> object.key().startsWith(prefix))
                        .map(object -> new StoredObject(object.key(), object.version(), new byte[0]))
                        .toList());
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion) {
        CompletableFuture<Optional<StoredObject>> answer = new CompletableFuture<>();
        loop.execute(() -> {
            if (faults.outage() || faults.watchBroken()) {
                return;
            }
            reads++;
            StoredObject present = objects.get(key);
            if (present != null && present.version() > afterVersion) {
                loop.schedule(latency, () -> answer.complete(Optional.of(present)));
                return;
            }
            Watch watch = new Watch(key, afterVersion, answer);
            watches.add(watch);
            loop.schedule(WATCH_LIMIT, () -> {
                watches.remove(watch);
                answer.complete(Optional.empty());
            });
        });
        return answer;
    }

    @Override
    public CompletableFuture<List<VmEntry>> listVms() {
        return call("vms", false, () -> vms);
    }

    private <T> CompletableFuture<T> call(String key, boolean change, Supplier<T> act) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(() -> loop.schedule(latency, () -> serve(key, change, act, answer)));
        return answer;
    }

    private <T> void serve(String key, boolean change, Supplier<T> act, CompletableFuture<T> answer) {
        if (faults.outage()) {
            return;
        }
        if (overAllowance()) {
            refused++;
            answer.completeExceptionally(new StoreException(StoreFailure.REFUSED, key));
            return;
        }
        if (change) {
            writes++;
        } else {
            reads++;
        }
        Runnable deliver;
        try {
            T value = act.get();
            deliver = () -> answer.complete(value);
        } catch (StoreException failure) {
            deliver = () -> answer.completeExceptionally(failure);
        }
        if (change && random.nextDouble() < faults.loseAnswers()) {
            return;
        }
        loop.schedule(Duration.ofMillis(faults.delayMillis()), deliver);
    }

    private boolean overAllowance() {
        if (faults.callsPerSecond() == 0) {
            return false;
        }
        long now = loop.clock().nanos();
        if (now - windowStartNanos > SECOND_NANOS) {
            windowStartNanos = now;
            windowCalls = 0;
        }
        windowCalls++;
        return windowCalls + watches.size() > faults.callsPerSecond();
    }

    private long put(String key, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new StoreException(StoreFailure.REFUSED, key + " is too large");
        }
        StoredObject object = new StoredObject(key, nextVersion++, value.clone());
        objects.put(key, object);
        List<Watch> due = watches.stream()
                .filter(watch -> watch.key.equals(key) && object.version() > watch.afterVersion)
                .toList();
        watches.removeAll(due);
        if (!faults.watchBroken()) {
            due.forEach(watch -> loop.schedule(latency, () -> watch.answer.complete(Optional.of(object))));
        }
        return object.version();
    }

    private record Watch(String key, long afterVersion, CompletableFuture<Optional<StoredObject>> answer) {}
}
