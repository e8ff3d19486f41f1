package org.parsleydrift.conversation;

import java.util.Optional;

/**
 * Chooses the peers that forward requests to store VMs which this node does not reach directly. Learns from the outcome of
 * each forwarded request. Called on the event loop of {@link ReplicaCalls}.
 */
public interface StoreForwarders {
    /** No peer forwards requests; used by processes without peers, such as the store VMs. */
    StoreForwarders NONE = store -> Optional.empty();

    /**
     * Chooses the peer for the next request.
     *
     * @param store the address of the store VM
     * @return the address of the peer, or empty if none is known that may reach the store VM
     */
    Optional<String> choose(String store);

    /**
     * Records that a request was answered through a peer. Ignored by default.
     *
     * @param store the address of the store VM
     * @param forwarder the address of the peer
     */
    default void recordAnswer(String store, String forwarder) {}

    /**
     * Records that a request was not answered through a peer in time. Ignored by default.
     *
     * @param store the address of the store VM
     * @param forwarder the address of the peer
     */
    default void recordSilence(String store, String forwarder) {}
}
