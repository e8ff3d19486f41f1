package org.parsleydrift.placement;

import java.time.Duration;
import org.parsleydrift.registry.Quota;

/**
 * Limits that a team's quota sets on the requests in a sliding window. Nodes learn of each other's admissions with a
 * delay, so a fleet may exceed the nominal limit by a tolerance; the limits computed here use part of it.
 *
 * @param window length of the sliding window
 * @param tolerance requests above the quota that are tolerated in one window
 * @param overage share of the quota that is tolerated above it as well
 */
public record QuotaPolicy(Duration window, double tolerance, double overage) {
    /**
     * Share of the tolerance added to the limit, so that unreported requests do not cost a small team part of its
     * quota.
     */
    private static final double GRANTED_TOLERANCE_SHARE = 0.5;

    /** Share of the tolerance reserved for requests that peers have admitted but not reported yet. */
    private static final double UNREPORTED_TOLERANCE_SHARE = 0.5;

    /** Reciprocal of the unobserved share of the window from which on only the rate is granted. */
    private static final double UNOBSERVED_FACTOR = 4;

    /**
     * Returns the limit for the recent half of the window, in requests. It bounds bursts, and lets a fleet that has
     * lost all its counts continue at the nominal rate.
     */
    double recentLimit(Quota quota) {
        return quota.maxRequests(windowSeconds() / 2) + tolerance;
    }

    /**
     * Returns the limit for the whole window, in requests. The rate counts as used up for the unobserved part of the
     * window; the burst and the tolerance shrink as that part grows.
     *
     * @param quota the team's quota
     * @param unobserved share of the window that precedes the start of nodes, 0 to 1
     */
    double windowLimit(Quota quota, double unobserved) {
        double excess = quota.burst() + GRANTED_TOLERANCE_SHARE * tolerance;
        return quota.ratePerSecond() * windowSeconds() * (1 - unobserved) + excess * observedFactor(unobserved);
    }

    /** Returns the requests by which unreported admissions may exceed the limit; 0 if much is unobserved. */
    double unreportedAllowance(double unobserved) {
        return UNREPORTED_TOLERANCE_SHARE * tolerance * observedFactor(unobserved);
    }

    /**
     * Returns how many requests a node may admit in a window while others may have used up the quota unknown to it: the
     * tolerance that {@link #windowLimit} does not use, shared by the nodes that can decide in place of the coordinator.
     */
    double provisionalLimit(Quota quota) {
        double unused = quota.maxRequests(windowSeconds()) * overage + (1 - GRANTED_TOLERANCE_SHARE) * tolerance;
        return unused / (QuotaCoordinators.CANDIDATES - 1);
    }

    /** Returns whether enough of the window is observed to admit requests without random selection. */
    static boolean isWellObserved(double unobserved) {
        return observedFactor(unobserved) > 0;
    }

    private static double observedFactor(double unobserved) {
        return Math.max(0, 1 - UNOBSERVED_FACTOR * unobserved);
    }

    private double windowSeconds() {
        return window.toMillis() / 1000.0;
    }
}
