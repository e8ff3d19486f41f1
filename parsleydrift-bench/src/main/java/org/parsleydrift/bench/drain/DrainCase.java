package org.parsleydrift.bench.drain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * A load and a rolling restart.
 *
 * @param workMillis work of all requests, ms; 0 for a mix
 * @param lostShare share of the responses of runners that are lost
 * @param full whether the runners have little more capacity than the load needs
 * @param nodes number of nodes
 * @param roll order of the restarts
 */
record DrainCase(double workMillis, double lostShare, boolean full, int nodes, Roll roll) {
    /** Works of a mix, each equally frequent, ms. */
    private static final double[] MIX = {200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 1000, 3000, 5000};

    private static final double[] WORKS = {0, 200, 1000, 3000, 5000};
    private static final double LOST_SHARE = 0.05;
    private static final int[] NODES = {2, 7, 20};
    private static final List<Roll> ROLLS = List.of(
            new Roll("one-2s", 1, 2000),
            new Roll("one-9s", 1, 9000),
            new Roll("two-2s", 2, 2000),
            new Roll("two-7s", 2, 7000),
            new Roll("all", 0, 0));

    static List<DrainCase> all() {
        List<DrainCase> cases = new ArrayList<>();
        for (double work : WORKS) {
            for (int nodes : NODES) {
                ROLLS.stream()
                        .filter(roll -> roll.suits(nodes))
                        .forEach(roll -> Stream.of(false, true)
                                .forEach(full -> Stream.of(0.0, LOST_SHARE)
                                        .forEach(lost -> cases.add(new DrainCase(work, lost, full, nodes, roll)))));
            }
        }
        return cases;
    }

    /** Returns the works that a kind of request can have; empty if all of them exceed its budget. */
    double[] works(RequestKind kind) {
        double[] works = workMillis == 0 ? MIX : new double[] {workMillis};
        return Arrays.stream(works).filter(kind::canServe).toArray();
    }

    /** Returns whether another node is ready at all times. */
    String readiness() {
        double downMillis = DrainTimes.USUAL.graceMillis() + DrainTimes.RESTART_MILLIS;
        return roll.signalMillis(nodes - 1) < downMillis ? "none ready at times" : "others ready";
    }

    String work() {
        return workMillis == 0 ? "mix" : workMillis / 1000 + " s";
    }
}
