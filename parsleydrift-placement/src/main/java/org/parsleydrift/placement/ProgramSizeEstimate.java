package org.parsleydrift.placement;

/** Moving average of the number of requests per program. */
final class ProgramSizeEstimate {
    /** Initial estimate, requests per program: a few turns and the calls between them. */
    private static final double INITIAL_REQUESTS = 8;
    /** Weight of the initial estimate, programs. */
    private static final double INITIAL_PROGRAMS = 10;
    /** Number of programs at which both sums are halved, so that older programs lose weight. */
    private static final double MAX_PROGRAMS = 100;
    /** Upper bound of the estimate, requests per program. */
    private static final int MAX_REQUESTS = 64;

    private double programs = INITIAL_PROGRAMS;
    private double requests = INITIAL_REQUESTS * INITIAL_PROGRAMS;

    /** Records an admitted request. */
    void recordRequest(boolean startsProgram) {
        requests++;
        if (startsProgram) {
            programs++;
        }
        if (programs > MAX_PROGRAMS) {
            programs /= 2;
            requests /= 2;
        }
    }

    int requestsPerProgram() {
        return Math.clamp(Math.round(requests / programs), 1, MAX_REQUESTS);
    }
}
