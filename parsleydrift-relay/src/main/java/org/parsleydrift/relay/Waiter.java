package org.parsleydrift.relay;

import java.util.Set;
import org.parsleydrift.registry.Runner;

/** A request that waits for a runner. */
interface Waiter {
    /** The service whose runners can serve it. */
    String service();

    /** The runner that served its program last; empty if none is known. */
    String warmRunner();

    /** Runners it must not go to again. */
    Set<String> avoided();

    /** Its rank; 0 is the highest. */
    int priority();

    /** Whether its program has already used runner time, which is lost if it fails. */
    boolean underWay();

    /** A place at a runner is taken for it. */
    void offered(Runner runner, int load);
}
