package org.parsleydrift.placement;

/** How many requests a program usually needs, by what was let pass lately. */
final class ProgramNeed {
    /** Before anything is known: a few turns and the calls between them. */
    private static final double FIRST = 8;
    /** Programs for which that counts: a node sees the first request of one program and the last of another. */
    private static final double FIRST_PROGRAMS = 10;
    /** Programs after which half of what was learned has been replaced. */
    private static final double HALVED_AFTER = 100;
    /** A program of more requests than this is no usual one. */
    private static final int MOST = 64;

    private double programs = FIRST_PROGRAMS;
    private double requests = FIRST * FIRST_PROGRAMS;

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
