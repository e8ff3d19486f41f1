package org.parsleydrift.placement;

/**
 * A runner whose connection was lost, or which was silent, while it worked on a request, so that it may have ended under it.
 *
 * @param work the work that the request asked for
 * @param runner {@link org.parsleydrift.registry.RunnerKey} of the runner's incarnation
 */
public record RunnerLoss(WorkKey work, long runner) {}
