package org.parsleydrift.node.call;

/** Permits an attempt of a call with side effects only while this node owns the program that makes it. */
@FunctionalInterface
public interface EffectGate {
    /** Permits every attempt; for calls that belong to no program. */
    EffectGate ALWAYS_PERMITTED = (attempt, dropped) -> attempt.run();

    /**
     * Runs one of two tasks, immediately or after a check of the ownership.
     *
     * @param attempt run if the effect is permitted
     * @param onDenied run if ownership has been lost
     */
    void pass(Runnable attempt, Runnable onDenied);
}
