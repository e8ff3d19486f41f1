package org.parsleydrift.node.host;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.node.call.EffectGate;

/**
 * Permits effects only under a lease: for a limited time after the start of the last durable journal write. A successor
 * waits until the lease has expired ({@link ProgramHost#holdBack}), so a late call of the former owner cannot run after
 * the calls of its successor. Confined to the node's event loop.
 */
final class FreshProofGate implements EffectGate {
    private final EffectGate guard;
    private final JournalWriter journal;
    private final Duration goodFor;
    private final Supplier<CompletableFuture<Void>> verify;

    FreshProofGate(
            EffectGate guard, JournalWriter journal, Duration goodFor, Supplier<CompletableFuture<Void>> verify) {
        this.guard = guard;
        this.journal = journal;
        this.goodFor = goodFor;
        this.verify = verify;
    }

    @Override
    public void pass(Runnable attempt, Runnable dropped) {
        guard.pass(() -> passFresh(attempt, dropped), dropped);
    }

    private void passFresh(Runnable attempt, Runnable dropped) {
        if (journal.sinceDurable().compareTo(goodFor) < 0) {
            attempt.run();
            return;
        }
        verify.get().whenComplete((done, failure) -> {
            if (failure == null) {
                pass(attempt, dropped);
            } else {
                dropped.run();
            }
        });
    }
}
