package org.parsleydrift.placement.lease;

/**
 * Answer of a coordinator.
 *
 * @param granted whether the lease was granted
 * @param leases leases at the runner, including a granted one; the reported load where that is larger and counts
 */
public record LeaseAnswer(boolean granted, int leases) {}
