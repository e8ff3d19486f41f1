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
final class FleetUsage {
    private final Dispatcher dispatcher;
    private final Allotments allotments;

    FleetUsage(Dispatcher dispatcher, Allotments allotments) {
        this.dispatcher = dispatcher;
        this.allotments = allotments;
    }

    NodeUsage ownUsage() {
        Map<Long, Integer> load = dispatcher.ownLoad().entrySet().stream()
                .collect(Collectors.toMap(each -> RunnerKey.of(each.getKey()), Map.Entry::getValue, Integer::sum));
        return new NodeUsage(load, allotments.report());
    }

    /** Number of requests that all nodes have at runners. */
    int totalRequests() {
        return dispatcher.fleetLoad();
    }

    /** Records usage by reporter, which is a node or a zone. {@link NodeUsage#NONE} clears a reporter that is gone. */
    void recordUsage(Map<String, NodeUsage> usageByReporter) {
        Map<String, UseReport> reports = new HashMap<>();
        usageByReporter.forEach((reporter, usage) -> reports.put(reporter, usage.teams()));
        allotments.peers(reports);
        dispatcher.peerLoads(usageByReporter.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().load())));
    }

    /** Drops the usage of reporters whose usage is contained in the reports of others from now on. */
    void dropReporters(Set<String> reporters) {
        allotments.movedFrom(reporters);
        dispatcher.peerLoads(reporters.stream().collect(Collectors.toMap(each -> each, each -> Map.of())));
    }
}
