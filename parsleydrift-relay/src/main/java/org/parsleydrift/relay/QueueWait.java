package org.parsleydrift.relay;

import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;

/**
 * Timers of one request's wait for a runner. A request may wait for the runner that has cached its prompt; after a part of
 * the wait any free runner is acceptable, so that one stuck runner does not lead to a rejection.
 */
final class QueueWait {
    private final EventLoop loop;
    private final Runnable retryPlacement;
    private Cancellable affinityTimer = () -> {};
    private Cancellable timeoutTimer = () -> {};
    private boolean anyRunner;

    /** Creates the timers without starting them; the given task retries the placement when any runner becomes acceptable. */
    QueueWait(EventLoop loop, Runnable retryPlacement) {
        this.loop = loop;
        this.retryPlacement = retryPlacement;
    }

    /** Starts or restarts the wait; the given task runs on timeout unless the wait ends before. */
    void start(AdmissionDecision.Wait wait, Runnable onTimeout) {
        cancel();
        anyRunner = false;
        affinityTimer = loop.schedule(wait.cacheWait(), () -> {
            anyRunner = true;
            retryPlacement.run();
        });
        timeoutTimer = loop.schedule(wait.maxWait(), onTimeout);
    }

    void cancel() {
        affinityTimer.cancel();
        timeoutTimer.cancel();
    }

    boolean acceptsAnyRunner() {
        return anyRunner;
    }
}
