package org.parsleydrift.relay;

import java.util.List;
import java.util.Set;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;

/** A request in the queue of the {@link Dispatcher}. */
interface QueuedRequest {
    /** Returns the name of the service whose runners can process the request. */
    String service();

    /** Returns the parts of the prompt in order; empty if there is none. */
    List<PromptPart> prompt();

    /** Returns the cached prompt parts that the store VMs have reported. */
    List<CachedPart> reportedParts();

    /** Returns the ids of the runner incarnations that the request must not be sent to again. */
    Set<String> excludedRunners();

    /** Returns whether any free runner is acceptable, since the queue wait is nearly over. */
    boolean acceptsAnyRunner();

    /** Returns the priority; 0 is the highest. */
    int priority();

    /** Returns whether the request's program has already used runner time, which is wasted if the request fails. */
    boolean isInProgress();

    /** Returns what the order and the admission of the request depend on besides. */
    RequestFacts facts();

    /** Called after a change of the manifest; the request withdraws if its key was revoked. */
    void manifestChanged();

    /** Sends the request to a runner, at which the dispatcher has reserved a slot. */
    void assign(Candidate chosen);
}
