package org.parsleydrift.node.peer;

/** Sends messages to other nodes; best effort, in order on one connection. */
public interface PeerLinks {
    /**
     * Sends a message.
     *
     * @param address the peer's link address
     * @param envelope the message
     */
    void send(String address, PeerEnvelope envelope);

    /**
     * Makes the next message open a new connection.
     *
     * @param address the peer's link address
     */
    void reset(String address);
}
