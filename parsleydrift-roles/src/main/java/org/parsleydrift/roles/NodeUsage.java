package org.parsleydrift.roles;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.placement.TeamUsage;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.placement.WindowCounts;
import org.parsleydrift.placement.fleet.FleetReport;

/**
 * Usage of runners and quotas by one entry node, or summed over several, and its report on contention.
 *
 * @param load number of requests at each runner, by the {@link org.parsleydrift.registry.RunnerKey} of its incarnation
 * @param teams usage of the teams' quotas
 * @param report report on services under contention; sent in the {@link StatusExtension}
 */
record NodeUsage(Map<Long, Integer> load, UsageReport teams, FleetReport report) {
    static final NodeUsage NONE = new NodeUsage(Map.of(), UsageReport.NONE);

    /** Copies the map. */
    NodeUsage {
        load = Map.copyOf(load);
    }

    /** Creates a usage without a report. */
    NodeUsage(Map<Long, Integer> load, UsageReport teams) {
        this(load, teams, FleetReport.NONE);
    }

    NodeUsage withReport(FleetReport other) {
        return new NodeUsage(load, teams, other);
    }

    /** Returns the usage with the return times as of a later time, ms. */
    NodeUsage agedBy(long millis) {
        return report.returnMillis().isEmpty() ? this : withReport(report.agedBy(millis));
    }

    /** Whether another usage need not be sent at once after this one. */
    boolean isEquivalent(NodeUsage other) {
        return load.equals(other.load) && teams.equals(other.teams) && report.isEquivalent(other.report);
    }

    NodeUsage plus(NodeUsage other) {
        Map<Long, Integer> sum = new HashMap<>(load);
        other.load.forEach((runner, requests) -> sum.merge(runner, requests, Integer::sum));
        return new NodeUsage(sum, teams.plus(other.teams), report.plus(other.report));
    }

    /** Subtracts the usage of one of the nodes; nothing becomes negative. */
    NodeUsage minus(NodeUsage part) {
        Map<Long, Integer> rest = new HashMap<>(load);
        part.load.forEach((runner, requests) -> rest.merge(runner, -requests, Integer::sum));
        rest.values().removeIf(each -> each <= 0);
        return new NodeUsage(rest, teams.minus(part.teams), report.minus(part.report));
    }

    /** Writes the usage without the report. */
    void write(MessagePacker out) throws IOException {
        out.packMapHeader(load.size());
        for (Map.Entry<Long, Integer> each : load.entrySet()) {
            out.packLong(each.getKey()).packInt(each.getValue());
        }
        out.packInt(teams.nodes()).packInt(teams.unobservedMillis());
        out.packMapHeader(teams.teams().size());
        for (Map.Entry<String, TeamUsage> each : teams.teams().entrySet()) {
            TeamUsage usage = each.getValue();
            out.packString(each.getKey());
            writeCount(out, usage.sent());
            writeCount(out, usage.planned());
            out.packInt(usage.newDemand()).packInt(usage.inProgressDemand());
        }
    }

    /** Reads a usage without a report. */
    static NodeUsage read(MessageUnpacker in) throws IOException {
        Map<Long, Integer> load = new HashMap<>();
        int runnerCount = in.unpackMapHeader();
        for (int i = 0; i < runnerCount; i++) {
            load.put(in.unpackLong(), in.unpackInt());
        }
        int nodes = in.unpackInt();
        int unobservedMillis = in.unpackInt();
        Map<String, TeamUsage> teams = new HashMap<>();
        int teamCount = in.unpackMapHeader();
        for (int i = 0; i < teamCount; i++) {
            String team = in.unpackString();
            teams.put(team, new TeamUsage(readCount(in), readCount(in), in.unpackInt(), in.unpackInt()));
        }
        return new NodeUsage(load, new UsageReport(nodes, unobservedMillis, teams));
    }

    private static void writeCount(MessagePacker out, WindowCounts count) throws IOException {
        out.packInt(count.total()).packInt(count.recent()).packInt(count.expiring());
    }

    private static WindowCounts readCount(MessageUnpacker in) throws IOException {
        return new WindowCounts(in.unpackInt(), in.unpackInt(), in.unpackInt());
    }
}
