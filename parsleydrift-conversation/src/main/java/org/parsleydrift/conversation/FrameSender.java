package org.parsleydrift.conversation;

/** Sends one-way frames to other processes. Delivery is best effort. */
public interface FrameSender {
    /**
     * Sends a frame.
     *
     * @param address the receiver's address
     * @param frame the bytes of the frame
     */
    void send(String address, byte[] frame);

    /**
     * Returns the size of the largest frame that the receivers accept; a larger one must not be sent.
     *
     * @return the size, bytes; unlimited by default
     */
    default int maxFrameBytes() {
        return Integer.MAX_VALUE;
    }

    /**
     * Closes the connection to a receiver; the next frame opens a new one.
     *
     * @param address the receiver's address
     */
    void reset(String address);
}
