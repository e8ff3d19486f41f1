package org.parsleydrift.registry;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Shared objects with revisions, conditional updates and watches. Futures fail with
 * {@link org.parsleydrift.kernel.platform.StoreException}; {@code ABSENT} on a watch says that its history is gone.
 */
public interface SharedObjects {
    /**
     * Lists all objects of a kind.
     *
     * @param kind the kind
     * @return the objects and the revision they were read at
     */
    CompletableFuture<ObjectChanges> list(ObjectKind kind);

    /**
     * Waits for changes.
     *
     * @param kind the kind
     * @param after the revision after which changes are wanted
     * @param wait the longest time to wait
     * @return changes in order, perhaps none
     */
    CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait);

    /**
     * Reads changes without waiting for any, over a connection of its own: one that was kept may have gone silent.
     *
     * @param kind the kind
     * @param after the revision after which changes are wanted
     * @return changes in order, perhaps none; complete as of the moment at which this is asked
     */
    CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after);

    /**
     * Creates or replaces an object.
     *
     * @param kind the kind
     * @param name the name
     * @param revision the revision to replace, or empty to create
     * @param content the content, JSON
     * @return the object as written; fails with {@code CONFLICT} if the condition does not hold
     */
    CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong revision, byte[] content);

    /**
     * Removes an object.
     *
     * @param kind the kind
     * @param name the name
     * @return done, also if there was none
     */
    CompletableFuture<Void> remove(ObjectKind kind, String name);

    /**
     * Reports how far a retirement is.
     *
     * @param vm the VM that is emptied
     * @param progress the progress
     * @return done
     */
    CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress);
}
