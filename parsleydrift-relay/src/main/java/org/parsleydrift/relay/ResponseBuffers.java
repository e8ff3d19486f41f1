package org.parsleydrift.relay;

/** Memory that the responses which are buffered until they are complete may use in all. */
final class ResponseBuffers {
    private final long maxBytes;
    private long reservedBytes;

    ResponseBuffers(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the buffers of this process, whose size depends on its heap. */
    static ResponseBuffers ofHeap() {
        return new ResponseBuffers((long) (Runtime.getRuntime().maxMemory() * RelayLimits.MAX_BUFFERED_HEAP_SHARE));
    }

    /** Reserves memory for a part of a response; returns false if there is none left. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
