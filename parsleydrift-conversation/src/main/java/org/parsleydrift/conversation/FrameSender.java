package org.parsleydrift.conversation;

/** One-way frames between processes; best effort. */
public interface FrameSender {
    /**
     * Sends a frame.
     *
     * @param address the receiver's address
     * @param frame its bytes
     */
    void send(String address, byte[] frame);

    /**
     * Drops the connection to a receiver, so that the next frame opens a new one.
     *
     * @param address the receiver's address
     */
    void reset(String address);
}
