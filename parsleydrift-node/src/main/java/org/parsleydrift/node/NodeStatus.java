package org.parsleydrift.node;

import java.util.List;

/**
 * Snapshot of a node's state, reported to operators.
 *
 * @param node name of the incarnation
 * @param zone availability zone
 * @param ready whether the node serves callers
 * @param draining whether the node is handing its programs over
 * @param generation current manifest generation, 0 if no manifest is known
 * @param programs number of programs that have not ended
 * @param ended number of ended programs within the retention period
 * @param journal sequence number of the last journal segment
 * @param peers the other nodes as this node sees them
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
     * A peer as the reporting node sees it.
     *
     * @param node name of the peer's incarnation
     * @param http the peer's address for callers
     * @param zone the peer's availability zone
     * @param heard whether a message from the peer arrived within the suspect timeout
     * @param draining whether the peer is handing its programs over
     */
    public record PeerStatus(String node, String http, String zone, boolean heard, boolean draining) {}
}
