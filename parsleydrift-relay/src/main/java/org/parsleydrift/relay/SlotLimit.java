package org.parsleydrift.relay;

/** Limits the load of the runners that one request may use. */
@FunctionalInterface
interface SlotLimit {
    /**
     * Returns the highest load of a runner that the request may use, the request included.
     *
     * @param runnerSlots slots of the runner
     * @param usualLimit the highest load without a limit by rank, requests
     * @return number of requests; at most the usual limit
     */
    int highestLoad(int runnerSlots, int usualLimit);
}
