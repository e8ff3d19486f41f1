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
    private static final Duration TICK = Duration.ofMillis(100);

    private final EventLoop loop;
    private final Duration stall;
    private final Supplier<CompletableFuture<Void>> verify;
    private final List<Held> held = new ArrayList<>();
    private long lastTickNanos;
    private boolean verifying;
    private boolean stopped;

    /**
     * Creates a guard and starts its periodic check.
     *
     * @param stall pauses longer than this require a verification
     * @param verify writes to the journal; completes when the write is durable
     */
    PauseGuard(EventLoop loop, Duration stall, Supplier<CompletableFuture<Void>> verify) {
        this.loop = loop;
        this.stall = stall;
        this.verify = verify;
        this.lastTickNanos = loop.clock().nanos();
        tick();
    }

    @Override
    public void pass(Runnable attempt, Runnable dropped) {
        if (stopped) {
            dropped.run();
            return;
        }
        noticePause();
        if (verifying) {
            held.add(new Held(attempt, dropped));
        } else {
            attempt.run();
        }
    }

    void stop() {
        stopped = true;
        List<Held> lost = List.copyOf(held);
        held.clear();
        lost.forEach(each -> each.dropped().run());
    }

    private void tick() {
        if (!stopped) {
            noticePause();
            lastTickNanos = loop.clock().nanos();
            loop.schedule(TICK, this::tick);
        }
    }

    private void noticePause() {
        long now = loop.clock().nanos();
        boolean paused = now - lastTickNanos > stall.toNanos();
        if (!paused || verifying) {
            return;
        }
        lastTickNanos = now;
        verifying = true;
        verify.get().thenRun(() -> {
            verifying = false;
            List<Held> due = List.copyOf(held);
            held.clear();
            due.forEach(each -> pass(each.attempt(), each.dropped()));
        });
    }

    private record Held(Runnable attempt, Runnable dropped) {}
}
