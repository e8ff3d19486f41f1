package org.parsleydrift.node.host;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.node.call.EffectGate;

/**
 * Lets an effect pass only on a proof of ownership that is fresh: a write to the journal that began a short while ago.
 * A successor waits for longer than that while ({@link ProgramHost#holdBack}), so a call that the former owner still
 * sends runs before whatever the successor does next. Without this a call of an early turn was seen to run after calls
 * of later ones. Confined to the node's loop.
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
        if (journal.timeSinceDurableWrite().compareTo(goodFor) < 0) {
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
