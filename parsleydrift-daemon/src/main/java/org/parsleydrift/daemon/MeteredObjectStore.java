package org.parsleydrift.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.kernel.platform.VmEntry;

/** Counts calls to the platform, failures by kind, and watches in progress. */
final class MeteredObjectStore implements ObjectStore {
    private static final String CALLS = "parsleydrift.platform.calls";

    private final ObjectStore store;
    private final MeterRegistry meters;
    private final Counter reads;
    private final Counter writes;
    private final AtomicInteger waiting = new AtomicInteger();

    MeteredObjectStore(ObjectStore store, MeterRegistry meters) {
        this.store = store;
        this.meters = meters;
        this.reads = meters.counter(CALLS, "kind", "read");
        this.writes = meters.counter(CALLS, "kind", "write");
        meters.gauge("parsleydrift.platform.watches", waiting);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String key) {
        return count(reads, store.read(key));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
        return count(writes, store.create(key, value));
    }

    @Override
    public CompletableFuture<Long> update(String key, long version, byte[] value) {
        return count(writes, store.update(key, version, value));
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return count(writes, store.delete(key));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix) {
        return count(reads, store.list(prefix));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion) {
        waiting.incrementAndGet();
        return count(reads, store.watch(key, afterVersion)).whenComplete((found, failure) -> waiting.decrementAndGet());
    }

    @Override
    public CompletableFuture<List<VmEntry>> listVms() {
        return count(reads, store.listVms());
    }

    private <T> CompletableFuture<T> count(Counter counter, CompletableFuture<T> answer) {
        counter.increment();
        return answer.whenComplete((value, failure) -> {
            if (failure != null) {
                meters.counter(
                                "parsleydrift.platform.failures",
                                "kind",
                                StoreException.of(failure).name())
                        .increment();
            }
        });
    }
}
