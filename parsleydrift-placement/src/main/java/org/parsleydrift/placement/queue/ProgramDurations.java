package org.parsleydrift.placement.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Learned durations of turns and programs by route. Turns of one program arrive at different nodes, so a node cannot
 * follow a program to its end. It compares the time left until the program's deadline at the first turn, on average, with
 * that at later turns: on average these arrive at half of the time to the last turn.
 *
 * <p>Soft state: a node that has just started knows none and returns 0. Not thread-safe; confined to one event loop.
 */
public final class ProgramDurations {
    /** Weight of the latest sample; a burst of some seconds at one node changes the mean by less than half. */
    private static final double WEIGHT = 0.02;

    private final Map<String, RouteDurations> routes = new HashMap<>();

    /**
     * Records the arrival of a turn. To be called only while no request of the service waits at this node, since the
     * waits of a burst would make programs appear to need more time than they do; not for repeated attempts.
     *
     * @param route name of the route
     * @param started whether the program is in progress
     * @param programLeftNanos time left until the program should be finished, ns; empty if unknown
     */
    public void recordArrival(String route, boolean started, OptionalLong programLeftNanos) {
        programLeftNanos.ifPresent(left -> routes.computeIfAbsent(route, any -> new RouteDurations())
                .recordLeft(started, Math.clamp(left, 0, QueueOrder.MAX_LEFT_NANOS)));
    }

    /**
     * Records a complete request.
     *
     * @param route name of the route
     * @param runNanos time from the assignment to a runner to the end of the response, ns
     */
    public void recordRun(String route, long runNanos) {
        routes.computeIfAbsent(route, any -> new RouteDurations()).run.add((double) Math.max(0, runNanos));
    }

    /**
     * Returns the mean time that a request of a route occupies a runner.
     *
     * @param route name of the route
     * @return the time, ns; 0 if unknown
     */
    public long runNanos(String route) {
        return routes.containsKey(route) ? (long) routes.get(route).run.value : 0;
    }

    /**
     * Returns the mean time from the start of a request to the end of its program.
     *
     * @param route name of the route
     * @param started whether the program is in progress
     * @return the time, ns; 0 if unknown
     */
    public long neededNanos(String route, boolean started) {
        return routes.containsKey(route) ? routes.get(route).neededNanos(started) : 0;
    }

    private static final class RouteDurations {
        private final Mean run = new Mean();
        private final Mean leftAtFirstTurn = new Mean();
        private final Mean elapsedAtLaterTurns = new Mean();

        void recordLeft(boolean started, long leftNanos) {
            if (!started) {
                leftAtFirstTurn.add((double) leftNanos);
            } else if (leftAtFirstTurn.count > 0) {
                elapsedAtLaterTurns.add(Math.max(0, leftAtFirstTurn.value - leftNanos));
            }
        }

        long neededNanos(boolean started) {
            // Of N turns at even intervals the later ones arrive, on average, after N / 2 intervals, the last after N -
            // 1.
            double laterShare =
                    (double) elapsedAtLaterTurns.count / Math.max(1, leftAtFirstTurn.count + elapsedAtLaterTurns.count);
            double untilLastTurn = 2 * laterShare * elapsedAtLaterTurns.value;
            return (long) (run.value + Math.max(0, untilLastTurn - (started ? elapsedAtLaterTurns.value : 0)));
        }
    }

    /** Moving average, which is the plain mean of the first samples. */
    private static final class Mean {
        private long count;
        private double value;

        void add(double sample) {
            count++;
            value += Math.max(WEIGHT, 1.0 / count) * (sample - value);
        }
    }
}
