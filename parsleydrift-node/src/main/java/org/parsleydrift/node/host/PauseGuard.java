package org.parsleydrift.node.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.node.call.EffectGate;

/**
 * Detects pauses of this node, such as a frozen VM, and delays effects after a pause until the node has verified that
 * it still owns its journal. Otherwise a node whose successor is already running could make a stale call of an earlier
 * turn after the successor's calls. Confined to the node's event loop.
 */
final class PauseGuard implements EffectGate {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final EventLoop loop;
    private final Duration pauseThreshold;
    private final Supplier<CompletableFuture<Void>> verifyOwnership;
    private final List<PendingEffect> pendingEffects = new ArrayList<>();
    private long lastCheckNanos;
    private boolean verifying;
    private boolean stopped;

    /**
     * Creates a guard and starts its periodic check.
     *
     * @param pauseThreshold pauses longer than this require a verification
     * @param verifyOwnership writes to the journal; completes when the write is durable
     */
    PauseGuard(EventLoop loop, Duration pauseThreshold, Supplier<CompletableFuture<Void>> verifyOwnership) {
        this.loop = loop;
        this.pauseThreshold = pauseThreshold;
        this.verifyOwnership = verifyOwnership;
        this.lastCheckNanos = loop.clock().nanos();
        checkPeriodically();
    }

    @Override
    public void pass(Runnable attempt, Runnable onDenied) {
        if (stopped) {
            onDenied.run();
            return;
        }
        detectPause();
        if (verifying) {
            pendingEffects.add(new PendingEffect(attempt, onDenied));
        } else {
            attempt.run();
        }
    }

    void stop() {
        stopped = true;
        List<PendingEffect> denied = List.copyOf(pendingEffects);
        pendingEffects.clear();
        denied.forEach(each -> each.onDenied().run());
    }

    private void checkPeriodically() {
        if (!stopped) {
            detectPause();
            lastCheckNanos = loop.clock().nanos();
            loop.schedule(CHECK_INTERVAL, this::checkPeriodically);
        }
    }

    private void detectPause() {
        long now = loop.clock().nanos();
        boolean paused = now - lastCheckNanos > pauseThreshold.toNanos();
        if (!paused || verifying) {
            return;
        }
        lastCheckNanos = now;
        verifying = true;
        verifyOwnership.get().thenRun(() -> {
            verifying = false;
            List<PendingEffect> released = List.copyOf(pendingEffects);
            pendingEffects.clear();
            released.forEach(each -> pass(each.attempt(), each.onDenied()));
        });
    }

    private record PendingEffect(Runnable attempt, Runnable onDenied) {}
}
