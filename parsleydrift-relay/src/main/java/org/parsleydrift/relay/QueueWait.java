package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LoopTimer;

/**
 * Timers of one request's wait for a runner. A request may wait for the runner that has cached its prompt, but near the
 * end of the wait any free runner is acceptable, so that one stuck runner does not lead to a rejection.
 */
final class QueueWait {
    private final EventLoop loop;
    private final Runnable lookAgain;
    private LoopTimer heldTimer = () -> {};
    private LoopTimer endTimer = () -> {};
    private boolean nearlyOver;

    /** Creates the timers without starting them; the given task retries the placement near the end of the wait. */
    QueueWait(EventLoop loop, Runnable lookAgain) {
        this.loop = loop;
        this.lookAgain = lookAgain;
    }

    /** Starts or restarts the wait; the given task runs on timeout unless the wait ends before. */
    void begin(Duration patience, Runnable tooLong) {
        end();
        nearlyOver = false;
        heldTimer = loop.schedule(Duration.ofMillis((long) (patience.toMillis() * RelayLimits.HELD_SHARE)), () -> {
            nearlyOver = true;
            lookAgain.run();
        });
        endTimer = loop.schedule(patience, tooLong);
    }

    void end() {
        heldTimer.cancel();
        endTimer.cancel();
    }

    boolean nearlyOver() {
        return nearlyOver;
    }
}
