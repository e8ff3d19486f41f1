package org.parsleydrift.node.peer;

/** Sends messages to other nodes. Delivery is best effort; messages on one connection keep their order. */
public interface PeerLinks {
    /**
     * Sends a message without waiting for its delivery. Failures are not reported.
     *
     * @param address the peer's link address
     * @param envelope the message with its sender and receiver
     */
    void send(String address, PeerEnvelope envelope);

    /**
     * Discards the connection to a peer; the next message opens a new one.
     *
     * @param address the peer's link address
     */
    void reset(String address);
}
