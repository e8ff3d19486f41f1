package org.parsleydrift.placement;

/**
 * What was let pass of a team, at one node or at several.
 *
 * @param ran requests that went to runners
 * @param planned requests that the programs need that were let begin, by what such programs usually need
 * @param asked requests that the programs need that asked to begin within the last while, whether they might or not
 * @param pressed requests of programs under way that asked to run within the last while, whether they might or not
 */
public record TeamUse(Windowed ran, Windowed planned, int asked, int pressed) {
    /** Nothing. */
    public static final TeamUse NONE = new TeamUse(Windowed.NONE, Windowed.NONE, 0, 0);

    /**
     * Both together.
     *
     * @param other other nodes' use
     * @return the sum
     */
    public TeamUse plus(TeamUse other) {
        return new TeamUse(
                ran.plus(other.ran), planned.plus(other.planned), asked + other.asked, pressed + other.pressed);
    }

    /**
     * What is left without a part.
     *
     * @param part the part
     * @return the difference, nowhere less than nothing
     */
    public TeamUse minus(TeamUse part) {
        return new TeamUse(
                ran.minus(part.ran),
                planned.minus(part.planned),
                Math.max(0, asked - part.asked),
                Math.max(0, pressed - part.pressed));
    }

    /** The larger of each. */
    TeamUse most(TeamUse other) {
        return new TeamUse(
                ran.most(other.ran),
                planned.most(other.planned),
                Math.max(asked, other.asked),
                Math.max(pressed, other.pressed));
    }

    TeamUse times(double share) {
        return new TeamUse(
                ran.times(share), planned.times(share), Windowed.scaled(asked, share), Windowed.scaled(pressed, share));
    }

    boolean isNone() {
        return equals(NONE);
    }
}
