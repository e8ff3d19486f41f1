package org.parsleydrift.placement;

import java.time.Duration;
import org.parsleydrift.registry.Quota;

/**
 * How requests are counted against an allotment, and by how much the count may be off. Nodes hear of each other late, so a
 * fleet that aims at the limit itself is above it now and then; it aims inside the tolerance.
 *
 * @param window the span in which requests are counted
 * @param tolerance requests beyond the limit that are borne
 */
public record QuotaPolicy(Duration window, double tolerance) {
    /** Share of the slack that is given out: without it a small team, at its limit, would be held to less by what is unheard. */
    private static final double SLACK_GIVEN_OUT = 0.5;

    /** Share of the slack for what others let pass that is not heard yet. */
    private static final double SLACK_FOR_UNHEARD = 0.5;

    /** Nothing beyond the rate is given out where one part in so many of the window is unseen. */
    private static final double LOST_PER_UNSEEN = 4;

    /**
     * Requests that a team may run in the later half of the window. So it has little more than the burst beyond its rate at any
     * time, and a fleet that forgets all it has counted can go on at the rate.
     */
    double late(Quota allotment) {
        return allotment.maxRequests(seconds() / 2) + tolerance;
    }

    /**
     * Requests that a team may run in the window. Of the part that nobody has seen its rate counts as used up; the burst and
     * the slack are given out by how little is unseen.
     *
     * @param allotment the team's
     * @param unseen share of the window that lies before the starts of nodes, 0 to 1
     */
    double whole(Quota allotment, double unseen) {
        double above = allotment.burst() + SLACK_GIVEN_OUT * tolerance;
        return allotment.ratePerSecond() * seconds() * (1 - unseen) + above * known(unseen);
    }

    /** Requests that may run beyond what is given out, for want of hearing of others in time; none where much is unseen. */
    double unheard(double unseen) {
        return SLACK_FOR_UNHEARD * tolerance * known(unseen);
    }

    /** Whether so little of the window is unseen that requests may pass without being drawn. */
    static boolean wellKnown(double unseen) {
        return known(unseen) > 0;
    }

    private static double known(double unseen) {
        return Math.max(0, 1 - LOST_PER_UNSEEN * unseen);
    }

    private double seconds() {
        return window.toMillis() / 1000.0;
    }
}
