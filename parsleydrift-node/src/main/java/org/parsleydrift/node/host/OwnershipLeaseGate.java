package org.parsleydrift.node.host;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.node.call.EffectGate;

/**
 * Permits effects only under a lease: for a limited time after the start of the last durable journal write. A successor
 * waits until the lease has expired ({@link ProgramHost#delayUntilLeaseExpiry}), so a late call of the former owner
 * cannot run after the calls of its successor. Confined to the node's event loop.
 */
final class OwnershipLeaseGate implements EffectGate {
    private final EffectGate delegate;
    private final JournalWriter journal;
    private final Duration leaseDuration;
    private final Supplier<CompletableFuture<Void>> verifyOwnership;

    OwnershipLeaseGate(
            EffectGate delegate,
            JournalWriter journal,
            Duration leaseDuration,
            Supplier<CompletableFuture<Void>> verifyOwnership) {
        this.delegate = delegate;
        this.journal = journal;
        this.leaseDuration = leaseDuration;
        this.verifyOwnership = verifyOwnership;
    }

    @Override
    public void pass(Runnable attempt, Runnable onDenied) {
        delegate.pass(() -> passWithLease(attempt, onDenied), onDenied);
    }

    private void passWithLease(Runnable attempt, Runnable onDenied) {
        if (journal.timeSinceDurableWrite().compareTo(leaseDuration) < 0) {
            attempt.run();
            return;
        }
        verifyOwnership.get().whenComplete((done, failure) -> {
            if (failure == null) {
                pass(attempt, onDenied);
            } else {
                onDenied.run();
            }
        });
    }
}
