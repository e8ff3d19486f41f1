package org.parsleydrift.placement;

/**
 * How many second tries one service gets from this node. Load pattern: a service whose runners are all slow or fail
 * together. Each second try then adds to the load that makes the first ones fail; callers see all calls fail instead of
 * some. Second tries are therefore paid for by first ones: a share of them, after a small reserve, so that a few lost
 * answers among many whole ones are all made up for.
 */
public final class RetryBudget {
    /**
     * Second tries that each first one pays for. Runners that lose answers lose a few in a hundred; a tenth makes up for
     * these and adds no more than that to the load of a service that fails as a whole.
     */
    private static final double SHARE = 0.1;
    /** Second tries in hand at most: a runner that dies with all its places taken breaks off about so many. */
    private static final double RESERVE = 10;

    private double inHand = RESERVE;

    /** A request was offered to its first runner. */
    public void recordFirstAttempt() {
        inHand = Math.min(RESERVE, inHand + SHARE);
    }

    /**
     * Takes a second try if one is in hand.
     *
     * @return whether the request may be sent again
     */
    public boolean tryAcquire() {
        boolean granted = inHand >= 1;
        if (granted) {
            inHand--;
        }
        return granted;
    }
}
