package org.parsleydrift.roles;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.placement.Allotments;
import org.parsleydrift.placement.UseReport;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.relay.Dispatcher;

/**
 * Usage of runners and quotas by this node, and the usage reported by its peers. Confined to the event loop of the
 * mesh.
 */
final class FleetUse {
    private final Dispatcher dispatcher;
    private final Allotments allotments;

    FleetUse(Dispatcher dispatcher, Allotments allotments) {
        this.dispatcher = dispatcher;
        this.allotments = allotments;
    }

    NodeUse own() {
        Map<Long, Integer> keyed = dispatcher.ownLoad().entrySet().stream()
                .collect(Collectors.toMap(each -> RunnerKey.of(each.getKey()), Map.Entry::getValue, Integer::sum));
        return new NodeUse(keyed, allotments.report());
    }

    /** Number of requests that all nodes have at runners. */
    int requests() {
        return dispatcher.fleetLoad();
    }

    /** Records usage by reporter, which is a node or a zone. {@link NodeUse#NONE} clears a reporter that is gone. */
    void told(Map<String, NodeUse> uses) {
        Map<String, UseReport> reports = new HashMap<>();
        uses.forEach((teller, use) -> reports.put(teller, use.teams()));
        allotments.peers(reports);
        dispatcher.peerLoads(uses.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().load())));
    }

    /** Drops the usage of reporters whose usage is contained in the reports of others from now on. */
    void movedFrom(Set<String> tellers) {
        allotments.movedFrom(tellers);
        dispatcher.peerLoads(tellers.stream().collect(Collectors.toMap(each -> each, each -> Map.of())));
    }
}
