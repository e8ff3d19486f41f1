package org.parsleydrift.bench.drain;

import java.util.SplittableRandom;

/** A request of a caller over all its attempts. */
final class ModelRequest {
    /** Time that a response may come later than its work takes, if that is longer than the target latency, ms. */
    private static final double TOLERANCE_MILLIS = 250;

    final RequestKind kind;
    final double createdMillis;
    /** Whether it counts: sent between the first SIGTERM and the end of the last drain. */
    final boolean counted;

    /** Decides what happens to the attempts, so that it does not depend on other requests. */
    final SplittableRandom random;

    private final double workMillis;
    double remainingMillis;
    int attemptsLeft;
    boolean rejected;

    ModelRequest(
            RequestKind kind,
            double workMillis,
            double createdMillis,
            int attempts,
            boolean counted,
            SplittableRandom random) {
        this.kind = kind;
        this.workMillis = workMillis;
        this.remainingMillis = workMillis;
        this.createdMillis = createdMillis;
        this.attemptsLeft = attempts;
        this.counted = counted;
        this.random = random;
    }

    double deadlineMillis() {
        return createdMillis + kind.budgetMillis();
    }

    boolean isInTime(double nowMillis) {
        return nowMillis - createdMillis <= Math.max(kind.targetMillis(), workMillis + TOLERANCE_MILLIS);
    }
}
