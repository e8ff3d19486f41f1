package org.parsleydrift.roles;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.RetirementProgress;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;

/** Platform that rejects all requests. */
final class RefusingObjects implements SharedObjects {
    @Override
    public CompletableFuture<ObjectChanges> list(ObjectKind kind) {
        return refused();
    }

    @Override
    public CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait) {
        return refused();
    }

    @Override
    public CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after) {
        return refused();
    }

    @Override
    public CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong revision, byte[] content) {
        return refused();
    }

    @Override
    public CompletableFuture<Void> remove(ObjectKind kind, String name) {
        return refused();
    }

    @Override
    public CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress) {
        return refused();
    }

    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(new StoreException(StoreFailure.REFUSED, "platform"));
    }
}
