package org.parsleydrift.bench.drain;

/**
 * Times of a drain.
 *
 * @param graceMillis time from SIGTERM until the process is killed, ms
 * @param listenFraction fraction of it after which connections are refused and the process may end
 * @param answerFraction fraction of it at which open requests end
 */
record DrainTimes(double graceMillis, double listenFraction, double answerFraction) {
    static final DrainTimes USUAL = new DrainTimes(8000, 0.6, 0.93);

    /** Time from the end of a process until its successor is ready, ms. */
    static final double RESTART_MILLIS = 900;

    /** Time between two checks whether the process may end, ms. */
    static final double CHECK_MILLIS = 50;

    double listenMillis() {
        return graceMillis * listenFraction;
    }

    double answerMillis() {
        return graceMillis * answerFraction;
    }
}
