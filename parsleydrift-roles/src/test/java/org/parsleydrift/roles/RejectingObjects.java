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
final class RejectingObjects implements SharedObjects {
    @Override
    public CompletableFuture<ObjectChanges> list(ObjectKind kind) {
        return rejected();
    }

    @Override
    public CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait) {
        return rejected();
    }

    @Override
    public CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after) {
        return rejected();
    }

    @Override
    public CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong revision, byte[] content) {
        return rejected();
    }

    @Override
    public CompletableFuture<Void> remove(ObjectKind kind, String name) {
        return rejected();
    }

    @Override
    public CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress) {
        return rejected();
    }

    private static <T> CompletableFuture<T> rejected() {
        return CompletableFuture.failedFuture(new StoreException(StoreFailure.REFUSED, "platform"));
    }
}
