package org.parsleydrift.placement;

/**
 * Quota usage and demand of a team at one node or at several.
 *
 * @param sent requests sent to runners
 * @param planned expected requests of the programs that were admitted
 * @param newDemand recent demand of new programs, as their expected requests, admitted or not
 * @param inProgressDemand recent demand of programs in progress, in requests, admitted or not
 */
public record TeamUsage(WindowCounts sent, WindowCounts planned, int newDemand, int inProgressDemand) {
    /** No usage and no demand. */
    public static final TeamUsage NONE = new TeamUsage(WindowCounts.NONE, WindowCounts.NONE, 0, 0);

    /**
     * Adds two usages.
     *
     * @param other the usage at other nodes
     * @return the sum
     */
    public TeamUsage plus(TeamUsage other) {
        return new TeamUsage(
                sent.plus(other.sent),
                planned.plus(other.planned),
                newDemand + other.newDemand,
                inProgressDemand + other.inProgressDemand);
    }

    /**
     * Subtracts a part of this usage.
     *
     * @param part the usage to subtract
     * @return the difference; negative values become 0
     */
    public TeamUsage minus(TeamUsage part) {
        return new TeamUsage(
                sent.minus(part.sent),
                planned.minus(part.planned),
                Math.max(0, newDemand - part.newDemand),
                Math.max(0, inProgressDemand - part.inProgressDemand));
    }

    /** Returns the component-wise maximum. */
    TeamUsage max(TeamUsage other) {
        return new TeamUsage(
                sent.max(other.sent),
                planned.max(other.planned),
                Math.max(newDemand, other.newDemand),
                Math.max(inProgressDemand, other.inProgressDemand));
    }

    TeamUsage scale(double share) {
        return new TeamUsage(
                sent.scale(share),
                planned.scale(share),
                WindowCounts.scaleUp(newDemand, share),
                WindowCounts.scaleUp(inProgressDemand, share));
    }

    boolean isNone() {
        return equals(NONE);
    }
}
