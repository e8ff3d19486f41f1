package org.parsleydrift.placement.fleet;

import org.parsleydrift.placement.admission.ServiceState;

/**
 * Reserves slots for better ranks (trunk reservation), so that an urgent request finds a free slot at whichever node it
 * arrives, although nodes see each other's loads with a delay.
 */
public final class SlotReservation {
    private final double reservedShare;

    /** Up to which load the requests of one rank may use any runner of a service. */
    public enum Limit {
        /** The usual limit of the runner, which may include requests in the runner's own queue. */
        USUAL,
        /** The slots of the runner. */
        SLOTS,
        /** All slots but one; a runner with a single slot stays usable. */
        RESERVED;

        /**
         * Returns the highest load of a runner, the assigned request included.
         *
         * @param runnerSlots slots of the runner
         * @param usualLimit the highest load without a reservation, requests
         * @return number of requests
         */
        public int highestLoad(int runnerSlots, int usualLimit) {
            return switch (this) {
                case USUAL -> usualLimit;
                case SLOTS -> Math.min(usualLimit, runnerSlots);
                case RESERVED -> Math.min(usualLimit, Math.max(1, runnerSlots - 1));
            };
        }
    }

    /**
     * Creates a reservation.
     *
     * @param reservedShare share of a service's slots reserved for better ranks, 0 to 0.5; with 0 there is no
     *     reservation and all ranks have the usual limit
     */
    public SlotReservation(double reservedShare) {
        this.reservedShare = reservedShare;
    }

    /**
     * Returns the limit of a rank, which is the same for all runners of the service.
     *
     * @param rank rank of the request
     * @param due whether the rank got less than its floor ({@code RankFloors#isDue}); it then ignores the reservation
     * @param state state of the service
     * @return the limit
     */
    public Limit limit(int rank, boolean due, ServiceState state) {
        if (reservedShare <= 0 || rank <= state.bestRank() || due) {
            return Limit.USUAL;
        }
        boolean fewFree = state.slots() - state.load() < reservedShare * state.slots();
        boolean reserved = fewFree || state.waitingUpTo(rank - 1) > 0;
        return reserved ? Limit.RESERVED : Limit.SLOTS;
    }

    /**
     * Returns the highest load of one runner up to which a rank may use it, its request included.
     *
     * @param runnerSlots slots of the runner
     * @param usualLimit the highest load without a reservation, requests
     * @param rank rank of the request
     * @param due whether the rank got less than its floor ({@code RankFloors#isDue})
     * @param state state of the service
     * @return number of requests
     */
    public int highestLoad(int runnerSlots, int usualLimit, int rank, boolean due, ServiceState state) {
        return limit(rank, due, state).highestLoad(runnerSlots, usualLimit);
    }
}
