package org.parsleydrift.registry;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object store, with revisions, conditional updates and watches. Futures fail with
 * {@link org.parsleydrift.kernel.platform.StoreException}; a watch fails with {@code ABSENT} if the history after its
 * revision is no longer available, and with {@code TOO_LARGE} if the changes are more than a response may hold.
 */
public interface SharedObjects {
    /**
     * Lists all objects of a kind.
     *
     * @param kind kind of objects
     * @return the objects and the revision that they were read at
     */
    CompletableFuture<ObjectChanges> list(ObjectKind kind);

    /**
     * Waits for changes of a kind.
     *
     * @param kind kind of objects
     * @param after revision after which changes are returned
     * @param wait maximum time to wait
     * @return changes in order; empty after the wait
     */
    CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait);

    /**
     * Reads changes without waiting, over a new connection, since an existing one may be dead.
     *
     * @param kind kind of objects
     * @param after revision after which changes are returned
     * @return changes in order, possibly none; complete as of the time of this call
     */
    CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after);

    /**
     * Creates or replaces an object.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param revision expected revision of the object; empty to create it
     * @param content content, JSON
     * @return the object as written; fails with {@code CONFLICT} if the current revision differs
     */
    CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong revision, byte[] content);

    /**
     * Removes an object.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @return completes when the object is absent, also if it never existed
     */
    CompletableFuture<Void> remove(ObjectKind kind, String name);

    /**
     * Reports the progress of a retirement.
     *
     * @param vm name of the VM that is being retired
     * @param progress progress to report
     * @return completes when the report is stored
     */
    CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress);
}
