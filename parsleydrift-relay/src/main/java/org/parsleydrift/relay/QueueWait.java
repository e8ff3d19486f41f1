package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;

/**
 * Timers of one request's wait for a runner. A request may wait for the runner that has cached its prompt, but near the
 * end of the wait any free runner is acceptable, so that one stuck runner does not lead to a rejection.
 */
final class QueueWait {
    private final EventLoop loop;
    private final Runnable retryPlacement;
    private Cancellable affinityTimer = () -> {};
    private Cancellable timeoutTimer = () -> {};
    private boolean nearTimeout;

    /** Creates the timers without starting them; the given task retries the placement near the end of the wait. */
    QueueWait(EventLoop loop, Runnable retryPlacement) {
        this.loop = loop;
        this.retryPlacement = retryPlacement;
    }

    /** Starts or restarts the wait; the given task runs on timeout unless the wait ends before. */
    void start(Duration timeout, Runnable onTimeout) {
        cancel();
        nearTimeout = false;
        // A longer wait for a free slot is not a longer wait for the cached prompt, which can be computed again.
        long affinityMillis = Math.min(timeout.toMillis(), RelayLimits.MAX_QUEUE_WAIT.toMillis());
        affinityTimer = loop.schedule(Duration.ofMillis((long) (affinityMillis * RelayLimits.AFFINITY_SHARE)), () -> {
            nearTimeout = true;
            retryPlacement.run();
        });
        timeoutTimer = loop.schedule(timeout, onTimeout);
    }

    void cancel() {
        affinityTimer.cancel();
        timeoutTimer.cancel();
    }

    boolean isNearTimeout() {
        return nearTimeout;
    }
}
