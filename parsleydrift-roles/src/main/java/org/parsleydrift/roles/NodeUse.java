package org.parsleydrift.roles;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.placement.TeamUsage;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.placement.WindowCounts;

/**
 * What an entry node, or several together, have in use.
 *
 * @param load requests at each runner, by the {@link org.parsleydrift.registry.RunnerKey} of the runner's life
 * @param teams use of the teams' allotments
 */
record NodeUse(Map<Long, Integer> load, UsageReport teams) {
    static final NodeUse NONE = new NodeUse(Map.of(), UsageReport.NONE);

    /** Copies the map. */
    NodeUse {
        load = Map.copyOf(load);
    }

    NodeUse plus(NodeUse other) {
        Map<Long, Integer> sum = new HashMap<>(load);
        other.load.forEach((runner, requests) -> sum.merge(runner, requests, Integer::sum));
        return new NodeUse(sum, teams.plus(other.teams));
    }

    /** What is left without what one of the nodes told. */
    NodeUse minus(NodeUse part) {
        Map<Long, Integer> rest = new HashMap<>(load);
        part.load.forEach((runner, requests) -> rest.merge(runner, -requests, Integer::sum));
        rest.values().removeIf(each -> each <= 0);
        return new NodeUse(rest, teams.minus(part.teams));
    }

    void write(MessagePacker out) throws IOException {
        out.packMapHeader(load.size());
        for (Map.Entry<Long, Integer> each : load.entrySet()) {
            out.packLong(each.getKey()).packInt(each.getValue());
        }
        out.packInt(teams.nodes()).packInt(teams.unobservedMillis());
        out.packMapHeader(teams.teams().size());
        for (Map.Entry<String, TeamUsage> each : teams.teams().entrySet()) {
            TeamUsage use = each.getValue();
            out.packString(each.getKey());
            writeCount(out, use.sent());
            writeCount(out, use.planned());
            out.packInt(use.newDemand()).packInt(use.inProgressDemand());
        }
    }

    static NodeUse read(MessageUnpacker in) throws IOException {
        Map<Long, Integer> load = new HashMap<>();
        int runners = in.unpackMapHeader();
        for (int i = 0; i < runners; i++) {
            load.put(in.unpackLong(), in.unpackInt());
        }
        int nodes = in.unpackInt();
        int unseenMillis = in.unpackInt();
        Map<String, TeamUsage> teams = new HashMap<>();
        int named = in.unpackMapHeader();
        for (int i = 0; i < named; i++) {
            String team = in.unpackString();
            teams.put(team, new TeamUsage(readCount(in), readCount(in), in.unpackInt(), in.unpackInt()));
        }
        return new NodeUse(load, new UsageReport(nodes, unseenMillis, teams));
    }

    private static void writeCount(MessagePacker out, WindowCounts count) throws IOException {
        out.packInt(count.total()).packInt(count.recent()).packInt(count.expiring());
    }

    private static WindowCounts readCount(MessageUnpacker in) throws IOException {
        return new WindowCounts(in.unpackInt(), in.unpackInt(), in.unpackInt());
    }
}
