package org.parsleydrift.bench;

import java.util.EnumSet;
import java.util.Set;

/**
 * A randomised run.
 *
 * @param seed seed of all chance
 * @param nodes nodes
 * @param programs programs in all
 * @param maxConcurrent programs under way at once
 * @param faults faults to bring about
 */
public record SoakOptions(long seed, int nodes, int programs, int maxConcurrent, Set<FaultKind> faults) {
    /**
     * A run with faults of every kind.
     *
     * @param seed seed of all chance
     * @param programs programs in all
     * @return the options
     */
    public static SoakOptions withAllFaults(long seed, int programs) {
        return new SoakOptions(seed, 5, programs, 50, EnumSet.allOf(FaultKind.class));
    }
}
