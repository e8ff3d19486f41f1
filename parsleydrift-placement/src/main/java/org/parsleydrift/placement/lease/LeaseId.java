package org.parsleydrift.placement.lease;

/**
 * Identity of a lease.
 *
 * @param node name of the node that holds the lease
 * @param processStart random start value of the node's process, which distinguishes it from its predecessors
 * @param number number of the request for the lease, unique in the process
 */
public record LeaseId(String node, long processStart, long number) {}
