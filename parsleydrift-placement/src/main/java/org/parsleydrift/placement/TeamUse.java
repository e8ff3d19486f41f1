package org.parsleydrift.placement;

/**
 * Quota usage and demand of a team at one node or at several.
 *
 * @param ran requests sent to runners
 * @param planned expected requests of the programs that were admitted
 * @param asked recent demand of new programs, as their expected requests, admitted or not
 * @param pressed recent demand of programs in progress, in requests, admitted or not
 */
public record TeamUse(Windowed ran, Windowed planned, int asked, int pressed) {
    /** No usage and no demand. */
    public static final TeamUse NONE = new TeamUse(Windowed.NONE, Windowed.NONE, 0, 0);

    /**
     * Adds two usages.
     *
     * @param other the usage at other nodes
     * @return the sum
     */
    public TeamUse plus(TeamUse other) {
        return new TeamUse(
                ran.plus(other.ran), planned.plus(other.planned), asked + other.asked, pressed + other.pressed);
    }

    /**
     * Subtracts a part of this usage.
     *
     * @param part the usage to subtract
     * @return the difference; negative values become 0
     */
    public TeamUse minus(TeamUse part) {
        return new TeamUse(
                ran.minus(part.ran),
                planned.minus(part.planned),
                Math.max(0, asked - part.asked),
                Math.max(0, pressed - part.pressed));
    }

    /** Returns the component-wise maximum. */
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
