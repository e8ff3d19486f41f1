package org.parsleydrift.relay;

import java.util.List;
import java.util.Set;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;

/** A request that waits for a runner. */
interface Waiter {
    /** The service whose runners can serve it. */
    String service();

    /** Parts of its prompt; empty where it has none. */
    List<PromptPart> prompt();

    /** Parts that runners hold by the word of the store VMs. */
    List<CachedPart> heard();

    /** Runners it must not go to again. */
    Set<String> avoided();

    /** Whether it has waited nearly as long as it may; it then goes to any runner with room. */
    boolean anywhere();

    /** Its rank; 0 is the highest. */
    int priority();

    /** Whether its program has already used runner time, which is lost if it fails. */
    boolean underWay();

    /** The manifest may be another one; it leaves if it may not run any more. */
    void manifestChanged();

    /** A place at a runner is taken for it. */
    void offered(Candidate chosen);
}
