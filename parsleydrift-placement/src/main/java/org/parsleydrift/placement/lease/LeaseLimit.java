package org.parsleydrift.placement.lease;

import org.parsleydrift.placement.Candidate;

/** Maximum number of leases at a runner, by the rank of the request. */
@FunctionalInterface
public interface LeaseLimit {
    /** The limit that placement without leases applies to runners of services with prompts, whatever the rank. */
    LeaseLimit USUAL = (service, rank, slots) -> Candidate.maxLoad(slots, true);

    /**
     * Returns the number of leases up to which a rank may use a runner, its own lease included.
     *
     * @param service name of the service
     * @param rank rank of the request; 0 is the best
     * @param slots slots of the runner
     * @return number of leases
     */
    int limit(String service, int rank, int slots);
}
