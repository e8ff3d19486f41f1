package org.parsleydrift.placement;

/**
 * A runner at which work was left unfinished, so that it may have ended under it.
 *
 * @param work the work
 * @param runner {@link org.parsleydrift.registry.RunnerKey} of the runner's incarnation
 */
public record RunnerLoss(WorkKey work, long runner) {}
