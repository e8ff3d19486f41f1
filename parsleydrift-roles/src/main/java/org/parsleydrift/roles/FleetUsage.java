package org.parsleydrift.roles;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.relay.Dispatcher;

/**
 * Usage of runners and quotas by this node, and the usage reported by its peers. Confined to the event loop of the
 * mesh.
 */
final class FleetUsage {
    private final Dispatcher dispatcher;
    private final QuotaTracker quotas;

    FleetUsage(Dispatcher dispatcher, QuotaTracker quotas) {
        this.dispatcher = dispatcher;
        this.quotas = quotas;
    }

    NodeUsage ownUsage() {
        Map<Long, Integer> load = dispatcher.ownLoad().entrySet().stream()
                .collect(Collectors.toMap(each -> RunnerKey.of(each.getKey()), Map.Entry::getValue, Integer::sum));
        return new NodeUsage(load, quotas.report());
    }

    /** Number of requests that all nodes have at runners. */
    int totalRequests() {
        return dispatcher.totalLoad();
    }

    /** Records usage by reporter, which is a node or a zone. {@link NodeUsage#NONE} clears a reporter that is gone. */
    void recordUsage(Map<String, NodeUsage> usageByReporter) {
        Map<String, UsageReport> reports = new HashMap<>();
        usageByReporter.forEach((reporter, usage) -> reports.put(reporter, usage.teams()));
        quotas.updatePeers(reports);
        dispatcher.updatePeerLoads(usageByReporter.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().load())));
    }

    /** Drops the usage of reporters whose usage is contained in the reports of others from now on. */
    void forgetReporters(Set<String> reporters) {
        quotas.forgetReporters(reporters);
        dispatcher.updatePeerLoads(reporters.stream().collect(Collectors.toMap(each -> each, each -> Map.of())));
    }
}
