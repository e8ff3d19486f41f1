package org.parsleydrift.kernel.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's object store. Failed requests complete with a {@link StoreException}; a lost response is
 * reported as {@link StoreFailure#UNKNOWN}. Futures may complete on any thread.
 */
public interface ObjectStore {
    /**
     * Reads an object.
     *
     * @param key the key of the object
     * @return the object, or empty if it does not exist
     */
    CompletableFuture<Optional<StoredObject>> read(String key);

    /**
     * Creates an object if it does not exist.
     *
     * @param key the key of the object
     * @param value the content, at most 1 MB
     * @return the version of the new object; fails with {@link StoreFailure#CONFLICT} if the object exists
     */
    CompletableFuture<Long> create(String key, byte[] value);

    /**
     * Replaces an object if it has the expected version.
     *
     * @param key the key of the object
     * @param version the expected version
     * @param value the new content, at most 1 MB
     * @return the new version; fails with {@link StoreFailure#CONFLICT} if the version differs
     */
    CompletableFuture<Long> update(String key, long version, byte[] value);

    /**
     * Deletes an object. Succeeds if it does not exist.
     *
     * @param key the key of the object
     * @return completes when the object is deleted
     */
    CompletableFuture<Void> delete(String key);

    /**
     * Lists the objects with a common key prefix, without their content.
     *
     * @param prefix the key prefix
     * @return the objects in order of their keys
     */
    CompletableFuture<List<StoredObject>> list(String prefix);

    /**
     * Waits until an object has a newer version (long poll). The request counts against the request limit while it
     * waits.
     *
     * @param key the key of the object
     * @param afterVersion the version already known, or 0 if none is known
     * @return the object once it has a newer version, or empty if the platform ends the wait
     */
    CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion);

    /**
     * Reads the platform's list of VMs, which is eventually consistent.
     *
     * @return the entries
     */
    CompletableFuture<List<VmEntry>> listVms();
}
