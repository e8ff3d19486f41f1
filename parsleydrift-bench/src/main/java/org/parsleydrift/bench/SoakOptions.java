package org.parsleydrift.bench;

import java.util.EnumSet;
import java.util.Set;

/**
 * Options of a randomised run.
 *
 * @param seed seed of the random generator
 * @param nodes number of nodes
 * @param programs total number of programs
 * @param maxConcurrent maximum number of programs that run concurrently
 * @param faults kinds of fault to inject
 */
public record SoakOptions(long seed, int nodes, int programs, int maxConcurrent, Set<FaultKind> faults) {
    /**
     * Creates the options of a run with faults of every kind.
     *
     * @param seed seed of the random generator
     * @param programs total number of programs
     * @return the options
     */
    public static SoakOptions withAllFaults(long seed, int programs) {
        return new SoakOptions(seed, 5, programs, 50, EnumSet.allOf(FaultKind.class));
    }
}
