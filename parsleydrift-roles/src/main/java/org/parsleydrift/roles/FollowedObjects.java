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
final class FollowedObjects implements FollowedKind {
    private final ObjectKind kind;
    private final VersionedTable table = new VersionedTable();
    private final ObjectWatcher follower;
    private final ObjectWatcher.Listener listener;
    private Consumer<List<SharedObject>> newsTaker = news -> {};

    FollowedObjects(
            ObjectKind kind,
            SharedObjects objects,
            EventLoop loop,
            RandomGenerator random,
            Duration longestWait,
            ObjectWatcher.Listener listener) {
        this.kind = kind;
        this.listener = listener;
        follower = new ObjectWatcher(kind, objects, loop, random, longestWait, table, new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> news) {
                tellNews(news);
            }

            @Override
            public void onReachabilityChanged(boolean reached) {
                listener.onReachabilityChanged(reached);
            }
        });
    }

    private void tellNews(List<SharedObject> news) {
        // Forwarded first, so that peers receive an entry that this node's own listener fails on.
        newsTaker.accept(news);
        listener.onChanges(news);
    }

    void start() {
        follower.start();
    }

    /** Registers gauges of the latest known revision and the staleness of the copy. */
    void measure(MeterRegistry meters) {
        Tags tags = Tags.of("kind", kind.name());
        meters.gauge("parsleydrift.known.revision", tags, table, VersionedTable::latestRevision);
        meters.gauge(
                "parsleydrift.known.age.seconds",
                tags,
                follower,
                each -> each.staleness().toMillis() / 1000.0);
    }

    @Override
    public long asOf() {
        return table.asOf();
    }

    @Override
    public long newestChange() {
        return table.latestRevision();
    }

    @Override
    public List<SharedObject> present() {
        return table.present();
    }

    @Override
    public void lookAtAge(Duration checkAfter) {
        follower.checkIfStale(checkAfter);
    }

    @Override
    public Duration age() {
        return follower.staleness();
    }

    @Override
    public boolean answered() {
        return follower.isPlatformReachable();
    }

    @Override
    public Optional<Duration> answeredAge() {
        return follower.ownStaleness();
    }

    @Override
    public void completeAt(long nanos) {
        follower.recordCompleteAt(nanos);
    }

    @Override
    public void learn(ObjectChanges list, long newestChange, long completeNanos) {
        // Must precede the update: removals during an outage that ends here are treated as expired entries, not as
        // runners that left.
        follower.recordCompleteAt(completeNanos);
        List<SharedObject> news = table.replace(list);
        table.advanceLatestRevision(newestChange);
        tellNews(news);
        // The watch of this node is behind its peers and may be dead.
        follower.restart();
    }

    @Override
    public void learnChanges(ObjectChanges changes, long newestChange, long completeNanos) {
        follower.recordCompleteAt(completeNanos);
        List<SharedObject> news = table.apply(changes);
        table.advanceLatestRevision(newestChange);
        if (!news.isEmpty()) {
            tellNews(news);
        }
    }

    @Override
    public void follow(boolean watches) {
        follower.setWatching(watches);
    }

    @Override
    public void onNews(Consumer<List<SharedObject>> taker) {
        newsTaker = taker;
    }
}
