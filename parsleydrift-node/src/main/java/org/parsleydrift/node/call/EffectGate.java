package org.parsleydrift.node.call;

/** Stands before each attempt of a call that has effects: lets it pass while the caller's right to make it holds. */
@FunctionalInterface
public interface EffectGate {
    /** Lets every attempt pass; for calls that may be repeated by anybody. */
    EffectGate OPEN = (attempt, dropped) -> attempt.run();

    /**
     * Runs one of two tasks, now or later.
     *
     * @param attempt what to do if the right holds
     * @param dropped what to do if it is lost
     */
    void pass(Runnable attempt, Runnable dropped);
}
