package org.parsleydrift.placement;

/**
 * What was let pass of a team, at one node or at several.
 *
 * @param sent requests that went to runners
 * @param planned requests that the programs need that were let begin, by what such programs usually need
 * @param newDemand requests that the programs need that asked to begin within the last while, whether they might or not
 * @param inProgressDemand requests of programs under way that asked to run within the last while, whether they might or not
 */
public record TeamUsage(WindowCounts sent, WindowCounts planned, int newDemand, int inProgressDemand) {
    /** Nothing. */
    public static final TeamUsage NONE = new TeamUsage(WindowCounts.NONE, WindowCounts.NONE, 0, 0);

    /**
     * Both together.
     *
     * @param other other nodes' use
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
     * What is left without a part.
     *
     * @param part the part
     * @return the difference, nowhere less than nothing
     */
    public TeamUsage minus(TeamUsage part) {
        return new TeamUsage(
                sent.minus(part.sent),
                planned.minus(part.planned),
                Math.max(0, newDemand - part.newDemand),
                Math.max(0, inProgressDemand - part.inProgressDemand));
    }

    /** The larger of each. */
    TeamUsage most(TeamUsage other) {
        return new TeamUsage(
                sent.most(other.sent),
                planned.most(other.planned),
                Math.max(newDemand, other.newDemand),
                Math.max(inProgressDemand, other.inProgressDemand));
    }

    TeamUsage times(double share) {
        return new TeamUsage(
                sent.times(share),
                planned.times(share),
                WindowCounts.scaled(newDemand, share),
                WindowCounts.scaled(inProgressDemand, share));
    }

    boolean isNone() {
        return equals(NONE);
    }
}
