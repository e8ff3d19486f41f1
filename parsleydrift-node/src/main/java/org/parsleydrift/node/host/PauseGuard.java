package org.parsleydrift.node.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.node.call.EffectGate;

/**
 * Notices that this node was paused, and holds back effects until it is known to own its journal still. A node that was
 * paused for seconds may have a successor that has long gone on; what the paused one then did first would come late and
 * out of order. It shows as a call of an earlier turn that runs after one of a later turn. Confined to the node's loop.
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
     * Makes a guard.
     *
     * @param loop the node's loop
     * @param stall a pause of this length counts
     * @param verify writes to the journal; completes when this node is known to own it
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
