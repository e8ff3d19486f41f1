package org.parsleydrift.node;

import java.util.List;

/**
 * What a node says of itself.
 *
 * @param node its incarnation
 * @param zone its availability zone
 * @param ready whether it serves
 * @param draining whether it takes no new work
 * @param generation the manifest generation in force
 * @param programs programs under way
 * @param ended programs that are over and still readable
 * @param journal the number of its last journal segment
 * @param peers the other nodes, with what this one thinks of them
 */
public record NodeStatus(
        String node,
        String zone,
        boolean ready,
        boolean draining,
        long generation,
        int programs,
        int ended,
        long journal,
        List<PeerStatus> peers) {
    /**
     * What a node thinks of a peer.
     *
     * @param node its incarnation
     * @param http where callers reach it
     * @param zone its availability zone
     * @param heard whether it was heard lately
     * @param draining whether it takes no new work
     */
    public record PeerStatus(String node, String http, String zone, boolean heard, boolean draining) {}
}
