package org.parsleydrift.conversation;

/**
 * The memory that the chains of the turns under way may use in all, so that callers cannot use up the heap together by
 * continuing long conversations at the same time. Confined to one event loop.
 */
final class ChainMemory {
    /** Share of the heap that chains may use. */
    private static final double MAX_HEAP_SHARE = 0.35;

    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates an empty memory.
     *
     * @param maxBytes total size of the chains, bytes
     */
    ChainMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the memory for chains in this process, whose size depends on its heap. */
    static ChainMemory ofHeap() {
        return new ChainMemory((long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_SHARE));
    }

    /** Returns the total size of the chains for which memory is reserved, bytes. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the limit of that size, bytes. */
    long maxBytes() {
        return maxBytes;
    }

    /** Creates a reservation for one chain, which is empty at first. */
    Reservation reservation() {
        return new Reservation();
    }

    /** The memory of one chain. */
    final class Reservation implements ChainReservation {
        private long bytes;

        private Reservation() {}

        /**
         * Reserves memory for the chain, whose size becomes known as it is read.
         *
         * @param total size of the chain as far as it is known, bytes
         * @return false if there is not enough memory; the memory reserved before stays reserved
         */
        boolean extendTo(long total) {
            long more = Math.max(0, total - bytes);
            if (reservedBytes + more > maxBytes) {
                return false;
            }
            reservedBytes += more;
            bytes += more;
            return true;
        }

        @Override
        public void release() {
            reservedBytes -= bytes;
            bytes = 0;
        }
    }
}
