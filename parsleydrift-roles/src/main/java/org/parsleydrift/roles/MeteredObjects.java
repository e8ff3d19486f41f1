package org.parsleydrift.roles;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.RetirementProgress;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;

/** Counts the requests to the platform by kind, operation and result. */
final class MeteredObjects implements SharedObjects {
    private final SharedObjects objects;
    private final MeterRegistry meters;

    MeteredObjects(SharedObjects objects, MeterRegistry meters) {
        this.objects = objects;
        this.meters = meters;
    }

    @Override
    public CompletableFuture<ObjectChanges> list(ObjectKind kind) {
        return counted("list", kind, objects.list(kind));
    }

    @Override
    public CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait) {
        return counted("watch", kind, objects.watch(kind, after, wait));
    }

    @Override
    public CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after) {
        return counted("changes", kind, objects.changes(kind, after));
    }

    @Override
    public CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong revision, byte[] content) {
        return counted("put", kind, objects.put(kind, name, revision, content));
    }

    @Override
    public CompletableFuture<Void> remove(ObjectKind kind, String name) {
        return counted("remove", kind, objects.remove(kind, name));
    }

    @Override
    public CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress) {
        return counted("report", ObjectKind.RETIREMENTS, objects.reportRetirement(vm, progress));
    }

    private <T> CompletableFuture<T> counted(String call, ObjectKind kind, CompletableFuture<T> answer) {
        return answer.whenComplete((result, failure) -> meters.counter(
                        "parsleydrift.platform.calls",
                        "call",
                        call,
                        "kind",
                        kind.name(),
                        "answer",
                        failure == null ? "OK" : StoreException.of(failure).name())
                .increment());
    }
}
