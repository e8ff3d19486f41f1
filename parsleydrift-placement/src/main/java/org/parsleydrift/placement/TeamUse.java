package org.parsleydrift.placement;

/**
 * What was let pass of a team, at one node or at several.
 *
 * @param ran requests that went to runners within the allotment's window
 * @param planned requests that the programs begun within the window need by what such programs usually need
 * @param asked requests that the programs need that asked to begin within the last second, whether they might or not
 */
public record TeamUse(int ran, int planned, int asked) {
    /** Nothing. */
    public static final TeamUse NONE = new TeamUse(0, 0, 0);

    /**
     * Both together.
     *
     * @param other other nodes' use
     * @return the sum
     */
    public TeamUse plus(TeamUse other) {
        return new TeamUse(ran + other.ran, planned + other.planned, asked + other.asked);
    }

    /**
     * What is left without a part.
     *
     * @param part the part
     * @return the difference, nowhere less than nothing
     */
    public TeamUse minus(TeamUse part) {
        return new TeamUse(
                Math.max(0, ran - part.ran), Math.max(0, planned - part.planned), Math.max(0, asked - part.asked));
    }

    /**
     * The larger of each.
     *
     * @param other another account of the same
     * @return the larger of both
     */
    TeamUse most(TeamUse other) {
        return new TeamUse(Math.max(ran, other.ran), Math.max(planned, other.planned), Math.max(asked, other.asked));
    }

    TeamUse times(double share) {
        return new TeamUse((int) (ran * share), (int) (planned * share), (int) (asked * share));
    }

    boolean isNone() {
        return equals(NONE);
    }
}
