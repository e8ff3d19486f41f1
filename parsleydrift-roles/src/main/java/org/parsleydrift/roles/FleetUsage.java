package org.parsleydrift.roles;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.fleet.FleetReports;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.relay.Dispatcher;

/**
 * Usage of runners and quotas by this node, and the usage reported by its peers. Confined to the event loop of the
 * mesh.
 */
final class FleetUsage {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Dispatcher dispatcher;
    private final QuotaTracker quotas;
    private final FleetReports fleetReports;
    private final Map<String, Reported> reports = new HashMap<>();
    private boolean reportsChanged;

    /** Report of a node or zone, and the time at which it was created. */
    private record Reported(FleetReport report, long createdNanos) {}

    FleetUsage(Dispatcher dispatcher, QuotaTracker quotas) {
        this(dispatcher, quotas, FleetReports.NONE);
    }

    FleetUsage(Dispatcher dispatcher, QuotaTracker quotas, FleetReports fleetReports) {
        this.dispatcher = dispatcher;
        this.quotas = quotas;
        this.fleetReports = fleetReports;
    }

    NodeUsage ownUsage() {
        Map<Long, Integer> load = dispatcher.ownLoad().entrySet().stream()
                .collect(Collectors.toMap(each -> RunnerKey.of(each.getKey()), Map.Entry::getValue, Integer::sum));
        return new NodeUsage(load, quotas.report(), fleetReports.own().limited());
    }

    /** Number of requests that all nodes have at runners. */
    int totalRequests() {
        return dispatcher.totalLoad();
    }

    /** Records usage by reporter, which is a node or a zone. {@link NodeUsage#NONE} clears a reporter that is gone. */
    void recordUsage(Map<String, NodeUsage> usageByReporter) {
        Map<String, UsageReport> teams = new HashMap<>();
        usageByReporter.forEach((reporter, usage) -> {
            teams.put(reporter, usage.teams());
            if (usage.report().isEmpty()) {
                dropReport(reporter);
            }
        });
        quotas.updatePeers(teams);
        dispatcher.updatePeerLoads(usageByReporter.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().load())));
    }

    /** Drops the usage of reporters whose usage is contained in the reports of others from now on. */
    void forgetReporters(Set<String> reporters) {
        reporters.forEach(this::dropReport);
        quotas.forgetReporters(reporters);
        dispatcher.updatePeerLoads(reporters.stream().collect(Collectors.toMap(each -> each, each -> Map.of())));
    }

    /** Records the report of a node or zone, also if nothing but its age and speeds changed. */
    void recordReport(String reporter, FleetReport report, long createdNanos) {
        if (report.isEmpty()) {
            dropReport(reporter);
        } else {
            reports.put(reporter, new Reported(report, createdNanos));
            reportsChanged = true;
        }
    }

    private void dropReport(String reporter) {
        reportsChanged |= reports.remove(reporter) != null;
    }

    /** Whether reports have arrived or were dropped since the last {@link #publishReports}. */
    boolean hasChangedReports() {
        return reportsChanged;
    }

    /** Passes the total of all reports to contention control. */
    void publishReports(long now) {
        reportsChanged = false;
        FleetReport total = reports.values().stream()
                .map(each -> each.report().agedBy((now - each.createdNanos()) / NANOS_PER_MILLI))
                .reduce(FleetReport.NONE, FleetReport::plus);
        long ageNanos = reports.values().stream()
                .mapToLong(each -> now - each.createdNanos())
                .max()
                .orElse(0);
        fleetReports.update(total, Duration.ofNanos(ageNanos));
    }
}
