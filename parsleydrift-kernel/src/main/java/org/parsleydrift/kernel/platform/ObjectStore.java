package org.parsleydrift.kernel.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API (brief, "What the platform gives"). Every future fails with a {@link StoreException}; an
 * answer that is lost shows as {@link StoreFailure#UNKNOWN}. Futures may complete on any thread.
 */
public interface ObjectStore {
    /**
     * Reads an object.
     *
     * @param key its name
     * @return the object, or empty if there is none
     */
    CompletableFuture<Optional<StoredObject>> read(String key);

    /**
     * Creates an object if there is none of that name.
     *
     * @param key its name
     * @param value its bytes, at most 1 MB
     * @return the version given to it; fails with CONFLICT if it exists
     */
    CompletableFuture<Long> create(String key, byte[] value);

    /**
     * Replaces an object if it still has the given version.
     *
     * @param key its name
     * @param version the version that the caller read
     * @param value its new bytes
     * @return the new version; fails with CONFLICT if the version differs
     */
    CompletableFuture<Long> update(String key, long version, byte[] value);

    /**
     * Deletes an object; succeeds if there is none.
     *
     * @param key its name
     * @return completes when it is gone
     */
    CompletableFuture<Void> delete(String key);

    /**
     * Lists objects by prefix, without their values.
     *
     * @param prefix the start of their names
     * @return rows in order of name
     */
    CompletableFuture<List<StoredObject>> list(String prefix);

    /**
     * Waits for an object to pass a version. Counts as a call while it waits.
     *
     * @param key its name
     * @param afterVersion the version already known; 0 for none
     * @return the object once it is newer, or empty when the platform ends the wait
     */
    CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion);

    /**
     * Reads the platform's list of VMs, which lags.
     *
     * @return its rows
     */
    CompletableFuture<List<VmEntry>> listVms();
}
