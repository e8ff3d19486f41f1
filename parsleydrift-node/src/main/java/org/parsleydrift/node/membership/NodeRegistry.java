package org.parsleydrift.node.membership;

import java.lang.System.Logger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.parsleydrift.journal.Deadline;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.NodeSettings;

/** Local cache of the node records on the platform. Confined to the node's event loop. */
public final class NodeRegistry {
    private static final Logger LOG = System.getLogger(NodeRegistry.class.getName());

    private final NodeEnvironment environment;
    private final NodeSettings.Timings timings;
    private final Consumer<NodeRecord> onChange;
    private final Map<String, NodeRecord> records = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private CompletableFuture<Void> pendingRefresh;
    private boolean loaded;

    /**
     * Creates an empty registry.
     *
     * @param environment gives access to the platform
     * @param timings timeouts of platform requests
     * @param onChange called with each record that is new or changed
     */
    public NodeRegistry(NodeEnvironment environment, NodeSettings.Timings timings, Consumer<NodeRecord> onChange) {
        this.environment = environment;
        this.timings = timings;
        this.onChange = onChange;
    }

    /**
     * Returns all cached records.
     *
     * @return the live map of records by incarnation
     */
    public Map<String, NodeRecord> records() {
        return records;
    }

    /**
     * Finds a cached record.
     *
     * @param incarnation name of the incarnation
     * @return the record, or empty if it has not been read
     */
    public Optional<NodeRecord> find(String incarnation) {
        return Optional.ofNullable(records.get(incarnation));
    }

    /**
     * Returns whether all records have been read at least once.
     *
     * @return true after the first complete refresh
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Reads new and changed records. Joins a refresh that is already running.
     *
     * @return completes when the records are read; fails if the platform does not answer
     */
    public CompletableFuture<Void> refresh() {
        if (pendingRefresh == null) {
            CompletableFuture<Void> started = withTimeout(environment.store().list(NodeRecord.prefix()))
                    .thenComposeAsync(this::readChanged, environment.loop());
            pendingRefresh = started.whenCompleteAsync((done, failure) -> pendingRefresh = null, environment.loop());
        }
        return pendingRefresh;
    }

    /**
     * Reads new and changed records in a refresh that starts after this call, since a running one may have missed the
     * latest changes.
     *
     * @return completes when the records are read; fails if the platform does not answer
     */
    public CompletableFuture<Void> refreshAgain() {
        return pendingRefresh == null
                ? refresh()
                : pendingRefresh
                        .handleAsync((done, failure) -> refresh(), environment.loop())
                        .thenCompose(each -> each);
    }

    /**
     * Creates this node's own record.
     *
     * @param record the record
     * @return completes when the platform has stored it; fails if the record exists or the platform does not answer
     */
    public CompletableFuture<Void> create(NodeRecord record) {
        String key = NodeRecord.key(record.incarnation());
        return withTimeout(environment.store().create(key, MessagePackCodec.encode(record)))
                .thenAcceptAsync(version -> apply(key, version, record), environment.loop());
    }

    /**
     * Changes a record by conditional update and retries after a conflict. The change must be idempotent, since an
     * update may take effect although its answer is lost.
     *
     * @param incarnation name of the incarnation
     * @param change computes the new record from the stored one; returns an equal record for no change
     * @return the stored record after the change; fails if there is no record or the platform does not answer
     */
    public CompletableFuture<NodeRecord> change(String incarnation, UnaryOperator<NodeRecord> change) {
        String key = NodeRecord.key(incarnation);
        return withTimeout(environment.store().read(key))
                .thenComposeAsync(
                        found -> found.isEmpty()
                                ? CompletableFuture.failedFuture(new StoreException(StoreFailure.ABSENT, key))
                                : write(incarnation, found.get(), change),
                        environment.loop());
    }

    private CompletableFuture<NodeRecord> write(
            String incarnation, StoredObject found, UnaryOperator<NodeRecord> change) {
        NodeRecord before = decode(found);
        NodeRecord after = change.apply(before);
        if (after.equals(before)) {
            apply(found.key(), found.version(), before);
            return CompletableFuture.completedFuture(before);
        }
        return withTimeout(environment.store().update(found.key(), found.version(), MessagePackCodec.encode(after)))
                .handleAsync(
                        (version, failure) -> {
                            if (failure == null) {
                                apply(found.key(), version, after);
                                return CompletableFuture.completedFuture(after);
                            }
                            return StoreException.of(failure) == StoreFailure.CONFLICT
                                    ? change(incarnation, change)
                                    : CompletableFuture.<NodeRecord>failedFuture(failure);
                        },
                        environment.loop())
                .thenCompose(result -> result);
    }

    private CompletableFuture<Void> readChanged(List<StoredObject> rows) {
        List<CompletableFuture<Void>> reads = rows.stream()
                .filter(row -> !Objects.equals(versions.get(row.key()), row.version()))
                .map(row -> withTimeout(environment.store().read(row.key()))
                        .thenAcceptAsync(
                                found -> found.ifPresent(
                                        object -> apply(object.key(), object.version(), decode(object))),
                                environment.loop()))
                .toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenRunAsync(() -> loaded = true, environment.loop());
    }

    private void apply(String key, long version, NodeRecord record) {
        if (versions.getOrDefault(key, 0L) >= version) {
            return;
        }
        versions.put(key, version);
        records.put(record.incarnation(), record);
        LOG.log(
                Logger.Level.DEBUG,
                () -> LogLine.of("node_record")
                        .with("node", record.incarnation())
                        .with("version", version)
                        .with("draining", record.draining())
                        .with("sealed", record.hasSealedJournal())
                        .toString());
        onChange.accept(record);
    }

    private static NodeRecord decode(StoredObject object) {
        return MessagePackCodec.decode(object.value(), NodeRecord.class, "platform");
    }

    private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> answer) {
        return Deadline.withTimeout(environment.loop(), answer, timings.platformTimeout(), NodeRecord.prefix());
    }
}
