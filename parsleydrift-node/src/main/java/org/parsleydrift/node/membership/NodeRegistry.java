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

/** This node's copy of the node records, read from the platform. Confined to the node's loop. */
public final class NodeRegistry {
    private static final Logger LOG = System.getLogger(NodeRegistry.class.getName());

    private final NodeEnvironment environment;
    private final NodeSettings.Timings timings;
    private final Consumer<NodeRecord> onChange;
    private final Map<String, NodeRecord> records = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private CompletableFuture<Void> refreshing;
    private boolean loaded;

    /**
     * Makes an empty copy.
     *
     * @param environment the outside
     * @param timings how long to wait for the platform
     * @param onChange told each record that is new or changed
     */
    public NodeRegistry(NodeEnvironment environment, NodeSettings.Timings timings, Consumer<NodeRecord> onChange) {
        this.environment = environment;
        this.timings = timings;
        this.onChange = onChange;
    }

    /**
     * All records known.
     *
     * @return records by incarnation
     */
    public Map<String, NodeRecord> records() {
        return records;
    }

    /**
     * Finds a record.
     *
     * @param incarnation the incarnation
     * @return its record, if known
     */
    public Optional<NodeRecord> find(String incarnation) {
        return Optional.ofNullable(records.get(incarnation));
    }

    /**
     * Whether the records were read at least once.
     *
     * @return true after the first whole read
     */
    public boolean loaded() {
        return loaded;
    }

    /**
     * Reads what is new. A read under way serves all who ask meanwhile.
     *
     * @return completes when the copy is as the platform was; fails if the platform does not answer
     */
    public CompletableFuture<Void> refresh() {
        if (refreshing == null) {
            CompletableFuture<Void> started = bounded(environment.store().list(NodeRecord.prefix()))
                    .thenComposeAsync(this::readChanged, environment.loop());
            refreshing = started.whenCompleteAsync((done, failure) -> refreshing = null, environment.loop());
        }
        return refreshing;
    }

    /**
     * Reads what is new, beginning after this call: a read under way may have passed what the caller must not miss.
     *
     * @return completes when the copy is as the platform was; fails if the platform does not answer
     */
    public CompletableFuture<Void> refreshAnew() {
        return refreshing == null
                ? refresh()
                : refreshing
                        .handleAsync((done, failure) -> refresh(), environment.loop())
                        .thenCompose(each -> each);
    }

    /**
     * Creates this node's own record.
     *
     * @param record the record
     * @return completes when the platform holds it
     */
    public CompletableFuture<Void> create(NodeRecord record) {
        String key = NodeRecord.key(record.incarnation());
        return bounded(environment.store().create(key, MessagePackCodec.encode(record)))
                .thenAcceptAsync(version -> take(key, version, record), environment.loop());
    }

    /**
     * Changes a record by conditional update, again after a conflict. The change must be idempotent: an answer can be
     * lost after the update took effect.
     *
     * @param incarnation the record
     * @param change makes the new record of the present one
     * @return the record as it is then; fails if the platform does not answer
     */
    public CompletableFuture<NodeRecord> change(String incarnation, UnaryOperator<NodeRecord> change) {
        String key = NodeRecord.key(incarnation);
        return bounded(environment.store().read(key))
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
            take(found.key(), found.version(), before);
            return CompletableFuture.completedFuture(before);
        }
        return bounded(environment.store().update(found.key(), found.version(), MessagePackCodec.encode(after)))
                .handleAsync(
                        (version, failure) -> {
                            if (failure == null) {
                                take(found.key(), version, after);
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
                .map(row -> bounded(environment.store().read(row.key()))
                        .thenAcceptAsync(
                                found ->
                                        found.ifPresent(object -> take(object.key(), object.version(), decode(object))),
                                environment.loop()))
                .toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenRunAsync(() -> loaded = true, environment.loop());
    }

    private void take(String key, long version, NodeRecord record) {
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
                        .with("sealed", record.over())
                        .toString());
        onChange.accept(record);
    }

    private static NodeRecord decode(StoredObject object) {
        return MessagePackCodec.decode(object.value(), NodeRecord.class, "platform");
    }

    private <T> CompletableFuture<T> bounded(CompletableFuture<T> answer) {
        return Deadline.withTimeout(environment.loop(), answer, timings.platformTimeout(), NodeRecord.prefix());
    }
}
