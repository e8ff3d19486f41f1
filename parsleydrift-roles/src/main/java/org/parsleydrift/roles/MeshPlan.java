package org.parsleydrift.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Whom an entry node tells what it knows. Load pattern: each node's requests at each runner change some tens of times a
 * second, and every other node needs them. Told by each to each, fifty nodes exchange 2,600 frames a period and spend
 * more on them than on requests; so beyond a few nodes each zone has a hub that gathers its zone's states and spreads
 * them, about twice as many frames as nodes.
 *
 * <p>Nobody elects a hub: it is the first of a zone, by name, that a node hears. A node that hears none before itself acts
 * as one, as does a node that another takes for one. So while they disagree some states are told twice and none is lost.
 *
 * @param own nodes that are told this node's own state
 * @param zone nodes that are told the sums of this node's zone: the first ones of other zones
 * @param all nodes that are told the sums of all zones that are known here: the members of this hub's zone
 */
record MeshPlan(List<NodeIdentity> own, List<NodeIdentity> zone, List<NodeIdentity> all) {
    /** Up to so many peers each tells each: at that number it costs as many frames as a hub with its relays. */
    static final int DIRECT_PEERS = 16;
    /** Nodes of another zone that are told; the second stands in while the first one's end is not noticed. */
    private static final int TOLD_PER_ZONE = 2;

    private static final Comparator<Neighbour> RANK =
            Comparator.comparing(each -> each.identity().name());

    /** Copies the lists. */
    MeshPlan {
        own = List.copyOf(own);
        zone = List.copyOf(zone);
        all = List.copyOf(all);
    }

    /**
     * A peer as seen when the plan is made.
     *
     * @param identity the peer
     * @param alive whether its state is recent, whoever told it
     * @param direct whether it has spoken to this node itself lately
     */
    record Neighbour(NodeIdentity identity, boolean alive, boolean direct) {}

    /**
     * Plans one round.
     *
     * @param self this node
     * @param peers all others that are known
     * @param hub whether another node takes this one for its hub
     * @param probing whether nodes that seem gone are tried too: one of them may have come back and know nobody
     * @return whom to tell what
     */
    static MeshPlan of(NodeIdentity self, List<Neighbour> peers, boolean hub, boolean probing) {
        if (peers.size() <= DIRECT_PEERS) {
            return new MeshPlan(identities(peers), List.of(), List.of());
        }
        List<Neighbour> mates = peers.stream()
                .filter(each -> each.identity().zone().equals(self.zone()))
                .sorted(RANK)
                .toList();
        List<Neighbour> before = mates.stream()
                .filter(each -> each.identity().name().compareTo(self.name()) < 0)
                .toList();
        int heard = firstDirect(before);
        List<Neighbour> reports = before.subList(0, Math.min(heard + 1, before.size())).stream()
                .filter(each -> each.alive() || probing)
                .toList();
        boolean actsAsHub = hub || heard == before.size();
        return actsAsHub
                ? new MeshPlan(identities(reports), otherZones(self, peers, probing), reached(mates, probing))
                : new MeshPlan(identities(reports), List.of(), List.of());
    }

    /** The place of the first that was heard itself; the number of nodes if none was. */
    private static int firstDirect(List<Neighbour> ranked) {
        int place = 0;
        while (place < ranked.size() && !ranked.get(place).direct()) {
            place++;
        }
        return place;
    }

    private static List<NodeIdentity> otherZones(NodeIdentity self, List<Neighbour> peers, boolean probing) {
        return peers.stream()
                .filter(each -> !each.identity().zone().equals(self.zone()))
                .sorted(RANK)
                .collect(Collectors.groupingBy(each -> each.identity().zone()))
                .values()
                .stream()
                .flatMap(each -> firstOf(each, probing).stream())
                .map(Neighbour::identity)
                .toList();
    }

    private static List<Neighbour> firstOf(List<Neighbour> zone, boolean probing) {
        List<Neighbour> told = new ArrayList<>(
                zone.stream().filter(Neighbour::alive).limit(TOLD_PER_ZONE).toList());
        if (told.isEmpty() || probing) {
            zone.stream()
                    .limit(TOLD_PER_ZONE)
                    .filter(each -> !told.contains(each))
                    .forEach(told::add);
        }
        return told;
    }

    private static List<NodeIdentity> reached(List<Neighbour> mates, boolean probing) {
        return identities(mates.stream().filter(each -> each.alive() || probing).toList());
    }

    private static List<NodeIdentity> identities(List<Neighbour> neighbours) {
        return neighbours.stream().map(Neighbour::identity).toList();
    }
}
