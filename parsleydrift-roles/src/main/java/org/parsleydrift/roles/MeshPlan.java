package org.parsleydrift.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Receivers of the status frames of an entry node. In a small fleet each node sends its state to every other node.
 * Since the number of frames then grows with the square of the nodes, larger fleets have one hub per availability zone,
 * which aggregates the states of its zone and distributes them.
 *
 * <p>There is no election: the hub of a zone is its first node, by name, that a node receives frames from. A node that
 * hears no node before itself acts as the hub, and so does a node that another one treats as its hub. While nodes
 * disagree, some states are sent twice and none is lost.
 *
 * @param stateReceivers receivers of this node's own state
 * @param summaryReceivers receivers of the summary of this node's zone: the first nodes of the other zones
 * @param allSummariesReceivers receivers of the summaries of all known zones: the members of this hub's zone
 */
record MeshPlan(
        List<NodeIdentity> stateReceivers,
        List<NodeIdentity> summaryReceivers,
        List<NodeIdentity> allSummariesReceivers) {
    /** Maximum number of peers for a full mesh; beyond it, hubs need fewer frames. */
    static final int MAX_FULL_MESH_PEERS = 16;
    /** Receivers in each other zone; the second one covers the time until the end of the first is detected. */
    private static final int RECEIVERS_PER_ZONE = 2;

    private static final Comparator<Neighbour> BY_NAME =
            Comparator.comparing(each -> each.identity().name());

    /** Plan of a node that knows no peer. */
    static final MeshPlan EMPTY = new MeshPlan(List.of(), List.of(), List.of());

    /** Copies the lists. */
    MeshPlan {
        stateReceivers = List.copyOf(stateReceivers);
        summaryReceivers = List.copyOf(summaryReceivers);
        allSummariesReceivers = List.copyOf(allSummariesReceivers);
    }

    /**
     * Peer at the time of planning.
     *
     * @param identity the peer
     * @param alive whether its state is recent, whether received directly or through a hub
     * @param direct whether a frame was recently received from the peer itself
     */
    record Neighbour(NodeIdentity identity, boolean alive, boolean direct) {}

    /**
     * Determines the receivers of one round.
     *
     * @param self this node
     * @param peers all known peers
     * @param hub whether another node treats this one as its hub
     * @param probing whether to include nodes that have timed out, since a restarted node may know no other
     * @return the receivers
     */
    static MeshPlan of(NodeIdentity self, List<Neighbour> peers, boolean hub, boolean probing) {
        if (peers.size() <= MAX_FULL_MESH_PEERS) {
            return new MeshPlan(identities(peers), List.of(), List.of());
        }
        List<Neighbour> zonePeers = peers.stream()
                .filter(each -> each.identity().zone().equals(self.zone()))
                .sorted(BY_NAME)
                .toList();
        List<Neighbour> preceding = zonePeers.stream()
                .filter(each -> each.identity().name().compareTo(self.name()) < 0)
                .toList();
        int firstDirect = indexOfFirstDirect(preceding);
        List<Neighbour> hubCandidates = preceding.subList(0, Math.min(firstDirect + 1, preceding.size())).stream()
                .filter(each -> each.alive() || probing)
                .toList();
        boolean actsAsHub = hub || firstDirect == preceding.size();
        return actsAsHub
                ? new MeshPlan(
                        identities(hubCandidates),
                        receiversInOtherZones(self, peers, probing),
                        reachable(zonePeers, probing))
                : new MeshPlan(identities(hubCandidates), List.of(), List.of());
    }

    /** Returns whether the node distributes what it receives in its zone. */
    boolean isHub() {
        return !allSummariesReceivers.isEmpty() || !summaryReceivers.isEmpty();
    }

    /** Returns the index of the first node heard directly; the number of nodes if there is none. */
    private static int indexOfFirstDirect(List<Neighbour> ordered) {
        int index = 0;
        while (index < ordered.size() && !ordered.get(index).direct()) {
            index++;
        }
        return index;
    }

    private static List<NodeIdentity> receiversInOtherZones(NodeIdentity self, List<Neighbour> peers, boolean probing) {
        return peers.stream()
                .filter(each -> !each.identity().zone().equals(self.zone()))
                .sorted(BY_NAME)
                .collect(Collectors.groupingBy(each -> each.identity().zone()))
                .values()
                .stream()
                .flatMap(each -> receiversIn(each, probing).stream())
                .map(Neighbour::identity)
                .toList();
    }

    private static List<Neighbour> receiversIn(List<Neighbour> zone, boolean probing) {
        List<Neighbour> receivers = new ArrayList<>(
                zone.stream().filter(Neighbour::alive).limit(RECEIVERS_PER_ZONE).toList());
        if (receivers.isEmpty() || probing) {
            zone.stream()
                    .limit(RECEIVERS_PER_ZONE)
                    .filter(each -> !receivers.contains(each))
                    .forEach(receivers::add);
        }
        return receivers;
    }

    private static List<NodeIdentity> reachable(List<Neighbour> zonePeers, boolean probing) {
        return identities(
                zonePeers.stream().filter(each -> each.alive() || probing).toList());
    }

    private static List<NodeIdentity> identities(List<Neighbour> neighbours) {
        return neighbours.stream().map(Neighbour::identity).toList();
    }
}
