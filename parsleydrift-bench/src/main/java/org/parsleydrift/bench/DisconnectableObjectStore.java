package org.parsleydrift.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.kernel.platform.VmEntry;

/** One node's connection to the platform's object store; requests stay unanswered while the route is cut. */
final class DisconnectableObjectStore implements ObjectStore {
    /** The platform's endpoint in {@link FleetNetwork}. */
    static final String PLATFORM = "platform";

    private final Fleet fleet;
    private final String vm;

    DisconnectableObjectStore(Fleet fleet, String vm) {
        this.fleet = fleet;
        this.vm = vm;
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String key) {
        return callIfReachable(() -> fleet.store().read(key));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
        return callIfReachable(() -> fleet.store().create(key, value));
    }

    @Override
    public CompletableFuture<Long> update(String key, long version, byte[] value) {
        return callIfReachable(() -> fleet.store().update(key, version, value));
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return callIfReachable(() -> fleet.store().delete(key));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix) {
        return callIfReachable(() -> fleet.store().list(prefix));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion) {
        return callIfReachable(() -> fleet.store().watch(key, afterVersion));
    }

    @Override
    public CompletableFuture<List<VmEntry>> listVms() {
        return callIfReachable(() -> fleet.store().listVms());
    }

    private <T> CompletableFuture<T> callIfReachable(Supplier<CompletableFuture<T>> request) {
        if (!fleet.network().isReachable(vm, PLATFORM)) {
            return new CompletableFuture<>();
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        request.get().whenComplete((value, failure) -> {
            if (!fleet.network().isReachable(vm, PLATFORM)) {
                return;
            }
            if (failure == null) {
                answer.complete(value);
            } else {
                answer.completeExceptionally(failure);
            }
        });
        return answer;
    }
}
