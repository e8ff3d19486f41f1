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

/** One kind of shared objects as an entry node knows it: from the platform, and from peers that know more. */
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
        // First: peers must learn of an entry that this node's own listener trips over.
        newsTaker.accept(news);
        listener.onChanges(news);
    }

    void start() {
        follower.start();
    }

    /** Shows how new the knowledge is: whether one node or all were behind can be told from this alone. */
    void measure(MeterRegistry meters) {
        Tags tags = Tags.of("kind", kind.name());
        meters.gauge("parsleydrift.known.revision", tags, table, VersionedTable::newestChange);
        meters.gauge(
                "parsleydrift.known.age.seconds",
                tags,
                follower,
                each -> each.age().toMillis() / 1000.0);
    }

    @Override
    public long asOf() {
        return table.asOf();
    }

    @Override
    public long newestChange() {
        return table.newestChange();
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
        return follower.age();
    }

    @Override
    public boolean answered() {
        return follower.answered();
    }

    @Override
    public Optional<Duration> answeredAge() {
        return follower.answeredAge();
    }

    @Override
    public void completeAt(long nanos) {
        follower.completeAt(nanos);
    }

    @Override
    public void learn(ObjectChanges list, long newestChange, long completeNanos) {
        // First: what was removed in a silence that ends with this is no runner that left.
        follower.completeAt(completeNanos);
        List<SharedObject> news = table.replace(list);
        table.knows(newestChange);
        tellNews(news);
        // This node's own watch lags behind its peers': it may have gone silent.
        follower.restart();
    }

    @Override
    public void learnChanges(ObjectChanges changes, long newestChange, long completeNanos) {
        follower.completeAt(completeNanos);
        List<SharedObject> news = table.apply(changes);
        table.knows(newestChange);
        if (!news.isEmpty()) {
            tellNews(news);
        }
    }

    @Override
    public void follow(boolean watches) {
        follower.follow(watches);
    }

    @Override
    public void onNews(Consumer<List<SharedObject>> taker) {
        newsTaker = taker;
    }
}
