package org.parsleydrift.roles;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.relay.Dispatcher;

/** What this node has in use, and where it notes what others have. Confined to the mesh's loop. */
final class FleetUse {
    private final Dispatcher dispatcher;
    private final QuotaTracker allotments;

    FleetUse(Dispatcher dispatcher, QuotaTracker allotments) {
        this.dispatcher = dispatcher;
        this.allotments = allotments;
    }

    NodeUse own() {
        Map<Long, Integer> keyed = dispatcher.ownLoad().entrySet().stream()
                .collect(Collectors.toMap(each -> RunnerKey.of(each.getKey()), Map.Entry::getValue, Integer::sum));
        return new NodeUse(keyed, allotments.report());
    }

    /** Requests that all nodes have at runners. */
    int requests() {
        return dispatcher.totalLoad();
    }

    /** Nodes or zones told what they have in use; those that are gone have nothing. */
    void told(Map<String, NodeUse> uses) {
        Map<String, UsageReport> reports = new HashMap<>();
        uses.forEach((teller, use) -> reports.put(teller, use.teams()));
        allotments.updatePeers(reports);
        dispatcher.updatePeerLoads(uses.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().load())));
    }

    /** What some told is told by others from now on. */
    void movedFrom(Set<String> tellers) {
        allotments.forgetReporters(tellers);
        dispatcher.updatePeerLoads(tellers.stream().collect(Collectors.toMap(each -> each, each -> Map.of())));
    }
}
