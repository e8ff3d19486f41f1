package org.parsleydrift.roles;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.registry.VersionedTable;

/**
 * Local copy of one kind of shared objects of an entry node, updated by watching the platform and from peers that are
 * ahead.
 */
final class WatchedObjects implements WatchedKind {
    private final ObjectKind kind;
    private final VersionedTable table = new VersionedTable();
    private final ObjectWatcher watcher;
    private final ObjectWatcher.Listener listener;
    private Consumer<List<SharedObject>> forwarder = changes -> {};

    WatchedObjects(
            ObjectKind kind,
            SharedObjects objects,
            EventLoop loop,
            RandomGenerator random,
            Duration maxWatchWait,
            ObjectWatcher.Listener listener) {
        this.kind = kind;
        this.listener = listener;
        watcher = new ObjectWatcher(kind, objects, loop, random, maxWatchWait, table, new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> changes) {
                notifyChanges(changes);
            }

            @Override
            public void onReachabilityChanged(boolean reachable) {
                listener.onReachabilityChanged(reachable);
            }
        });
    }

    private void notifyChanges(List<SharedObject> changes) {
        // Forwarded first, so that peers receive an entry that this node's own listener fails on.
        forwarder.accept(changes);
        listener.onChanges(changes);
    }

    void start() {
        watcher.start();
    }

    /** Registers gauges of the latest known revision and the staleness of the copy. */
    void registerGauges(MeterRegistry meters) {
        Tags tags = Tags.of("kind", kind.name());
        meters.gauge("parsleydrift.known.revision", tags, table, VersionedTable::latestRevision);
        meters.gauge(
                "parsleydrift.known.age.seconds",
                tags,
                watcher,
                each -> each.staleness().toMillis() / 1000.0);
    }

    @Override
    public long asOf() {
        return table.asOf();
    }

    @Override
    public long latestRevision() {
        return table.latestRevision();
    }

    @Override
    public List<SharedObject> present() {
        return table.present();
    }

    @Override
    public void checkIfStale(Duration maxStaleness) {
        watcher.checkIfStale(maxStaleness);
    }

    @Override
    public Duration staleness() {
        return watcher.staleness();
    }

    @Override
    public boolean isPlatformReachable() {
        return watcher.isPlatformReachable();
    }

    @Override
    public Optional<Duration> ownStaleness() {
        return watcher.ownStaleness();
    }

    @Override
    public void recordCompleteAt(long nanos) {
        watcher.recordCompleteAt(nanos);
    }

    @Override
    public void applyList(ObjectChanges list, long latestRevision, long completeNanos) {
        // Must precede the update: removals during an outage that ends here are treated as expired entries, not as
        // runners that left.
        watcher.recordCompleteAt(completeNanos);
        List<SharedObject> applied = table.replace(list);
        table.advanceLatestRevision(latestRevision);
        notifyChanges(applied);
        // The watch of this node is behind its peers and may be dead.
        watcher.restart();
    }

    @Override
    public void applyChanges(ObjectChanges changes, long latestRevision, long completeNanos) {
        watcher.recordCompleteAt(completeNanos);
        List<SharedObject> applied = table.apply(changes);
        table.advanceLatestRevision(latestRevision);
        if (!applied.isEmpty()) {
            notifyChanges(applied);
        }
    }

    @Override
    public void setWatching(boolean enabled) {
        watcher.setWatching(enabled);
    }

    @Override
    public void setChangeListener(Consumer<List<SharedObject>> listener) {
        forwarder = listener;
    }
}
