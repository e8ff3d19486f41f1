package org.parsleydrift.node;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.node.caller.CallerGateway;

/** The callers' side of a node's drain: each open request is answered by its end. Confined to the node's event loop. */
final class NodeDrain {
    private static final Logger LOG = System.getLogger(NodeDrain.class.getName());
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    /** Time in which callers are answered, in drain timeouts. */
    private static final int DRAIN_TIMEOUTS = 3;

    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final CallerGateway gateway;
    /** Completes the results that are open. */
    private final Set<Runnable> openResults = new LinkedHashSet<>();

    private long endNanos;
    private boolean begun;

    NodeDrain(EventLoop loop, NodeSettings.Timings timings, CallerGateway gateway) {
        this.loop = loop;
        this.timings = timings;
        this.gateway = gateway;
    }

    void begin() {
        begun = true;
        Duration limit = timings.drainTimeout().multipliedBy(DRAIN_TIMEOUTS);
        endNanos = loop.clock().nanos() + limit.toNanos();
        loop.schedule(limit, this::answerOpenRequests);
    }

    boolean hasBegun() {
        return begun;
    }

    /** Returns whether a request that takes the given time, at most, can be answered before the end. */
    boolean permits(Duration needed) {
        return !begun || endNanos - loop.clock().nanos() >= needed.toNanos();
    }

    /** Returns whether a request of a program, whose owner must be found, can be answered before the end. */
    boolean permitsLookup() {
        Duration lookup = timings.ownerLookupTimeout();
        return permits(lookup.compareTo(timings.drainTimeout()) < 0 ? lookup : timings.drainTimeout());
    }

    /**
     * Bounds a result by the end of the drain.
     *
     * @param result the result
     * @param end completes the returned future at the end if the result is not known by then
     */
    <T> CompletableFuture<T> bound(CompletableFuture<T> result, Consumer<CompletableFuture<T>> end) {
        CompletableFuture<T> bounded = result.copy();
        if (!bounded.isDone()) {
            Runnable ending = () -> end.accept(bounded);
            openResults.add(ending);
            bounded.whenComplete((any, failure) -> openResults.remove(ending));
        }
        return bounded;
    }

    /** Completes the future once no request is open; from then on no request is permitted. */
    void completeWhenAnswered(CompletableFuture<Void> done) {
        if (openRequests() > 0) {
            loop.schedule(CHECK_INTERVAL, () -> completeWhenAnswered(done));
            return;
        }
        endNanos = loop.clock().nanos();
        LOG.log(Logger.Level.INFO, LogLine.of("drain_done").toString());
        done.complete(null);
    }

    private int openRequests() {
        return gateway.openRequestCount() + openResults.size();
    }

    private void answerOpenRequests() {
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("drain_answers_open_requests")
                        .with("open", openRequests())
                        .toString());
        gateway.endOpenRequests();
        List.copyOf(openResults).forEach(Runnable::run);
    }
}
