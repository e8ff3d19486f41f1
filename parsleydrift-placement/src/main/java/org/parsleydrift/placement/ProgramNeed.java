package org.parsleydrift.placement;

/** Moving average of the number of requests per program. */
final class ProgramNeed {
    /** Initial estimate, requests per program. */
    private static final double FIRST = 8;
    /** Weight of the initial estimate, programs. */
    private static final double FIRST_PROGRAMS = 10;
    /** Number of programs at which both sums are halved, so that older programs lose weight. */
    private static final double HALVED_AFTER = 100;
    /** Upper bound of the estimate, requests per program. */
    private static final int MOST = 64;

    private double programs = FIRST_PROGRAMS;
    private double requests = FIRST * FIRST_PROGRAMS;

    /** Records an admitted request. */
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
