package org.parsleydrift.relay;

import java.util.List;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.Runner;

/** A request in the queue of the {@link Dispatcher}. */
interface QueuedRequest {
    /** Returns the name of the service whose runners can process the request. */
    String service();

    /** Returns the parts of the prompt in order; empty if there is none. */
    List<PromptPart> prompt();

    /** Returns the cached prompt parts that the store VMs have reported. */
    List<CachedPart> reportedParts();

    /** Returns whether the request may be sent to a runner of its service. */
    boolean accepts(Runner runner);

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

    /** Called after a change of the runners; the request withdraws if none is left that it may be sent to. */
    void runnersChanged();

    /** Called when some work must not be sent to runners any more; the request withdraws if it asks for it. */
    void workLimited();

    /** Sends the request to a runner, at which the dispatcher has reserved a slot. */
    void assign(Candidate chosen);
}
