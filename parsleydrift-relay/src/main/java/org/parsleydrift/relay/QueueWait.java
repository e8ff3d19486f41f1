package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;

/**
 * The wait of one request for a runner. For most of it the request is kept for the runner that holds its prompt; a runner
 * that is stuck must not keep it until it is refused, so near the end any runner with room will do.
 */
final class QueueWait {
    private final EventLoop loop;
    private final Runnable lookAgain;
    private Cancellable heldTimer = () -> {};
    private Cancellable endTimer = () -> {};
    private boolean nearlyOver;

    /** Makes a wait that has not begun; near its end it runs a task that places what can be placed. */
    QueueWait(EventLoop loop, Runnable lookAgain) {
        this.loop = loop;
        this.lookAgain = lookAgain;
    }

    /** Begins, or begins anew; a task runs if nothing ends the wait before its patience is over. */
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
