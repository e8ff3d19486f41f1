package org.parsleydrift.placement;

/** How many requests a program usually needs, by what was let pass lately. */
final class ProgramNeed {
    /** Before anything is known: a few turns and the calls between them. */
    private static final double FIRST = 8;
    /** Programs after which half of what was learned has been replaced. */
    private static final double HALVED_AFTER = 100;
    /** A program of more requests than this is no usual one. */
    private static final int MOST = 64;

    private double programs = 1;
    private double requests = FIRST;

    /** Notes a request that may run. */
    void let(boolean begins) {
        requests++;
        if (begins) {
            programs++;
        }
        if (programs > HALVED_AFTER) {
            programs /= 2;
            requests /= 2;
        }
    }

    int requests() {
        return Math.clamp(Math.round(requests / programs), 1, MOST);
    }
}
