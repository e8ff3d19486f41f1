package org.parsleydrift.bench;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.parsleydrift.standin.EngineFaults;
import org.parsleydrift.standin.PlatformFaults;
import org.parsleydrift.standin.StandInEngine;
import org.parsleydrift.standin.StandInTool;
import org.parsleydrift.standin.ToolFaults;

/** Brings faults about at random times, several at once, and ends each after a random while. */
final class FaultInjector {
    private static final int MIN_LIVE = 2;

    private final Fleet fleet;
    private final Set<FaultKind> kinds;
    private final SplittableRandom random;
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private int platformFaults;
    private boolean stopped;

    FaultInjector(Fleet fleet, Set<FaultKind> kinds) {
        this.fleet = fleet;
        this.kinds = kinds;
        this.random = fleet.random().split();
    }

    Map<FaultKind, Integer> counts() {
        return counts;
    }

    void begin(Duration meanPause) {
        if (stopped || kinds.isEmpty()) {
            return;
        }
        Duration pause = Duration.ofMillis(1 + random.nextLong(2 * meanPause.toMillis()));
        fleet.outside().schedule(pause, () -> {
            if (!stopped) {
                List<FaultKind> all = List.copyOf(kinds);
                FaultKind kind = all.get(random.nextInt(all.size()));
                if (inject(kind)) {
                    counts.merge(kind, 1, Integer::sum);
                }
                begin(meanPause);
            }
        });
    }

    void stop() {
        stopped = true;
    }

    private boolean inject(FaultKind kind) {
        return switch (kind) {
            case NODE_KILLED -> killNode();
            case NODE_PAUSED -> pauseNode();
            case NODE_DRAINED -> drainNode();
            case LINK_SILENT -> silenceLink();
            case LINK_CUT ->
                cut(anyNode().settings().link(), anyNode().settings().link(), true);
            case PLATFORM_CUT -> cut(anyNode().settings().vm(), CuttableObjectStore.PLATFORM, false);
            case PLATFORM_OUTAGE -> platform(new PlatformFaults(true, 0, 0, false, 0));
            case PLATFORM_SLOW -> platform(new PlatformFaults(false, 1900, 0, false, 0));
            case PLATFORM_ANSWERS_LOST -> platform(new PlatformFaults(false, 0, 0.3, true, 0));
            case ENGINE_CRASHED -> crashEngine();
            case ENGINE_LEAVING -> engine(new EngineFaults(true, false, 0));
            case ENGINE_BREAKS -> engine(new EngineFaults(false, false, 0.3));
            case ENGINE_CUT ->
                cut(anyNode().settings().vm(), any(List.copyOf(fleet.engines().keySet())), false);
            case TOOL_ANSWERS_LOST -> tool(new ToolFaults(false, false, 0.5));
            case TOOL_LEAVING -> tool(new ToolFaults(true, false, 0));
            case MANIFEST_RACE -> raceManifests();
        };
    }

    private boolean killNode() {
        FleetNode node = anyNode();
        if (settled() <= MIN_LIVE || node.draining()) {
            return false;
        }
        node.kill();
        fleet.outside().schedule(seconds(1, 6), node::start);
        return true;
    }

    private boolean pauseNode() {
        FleetNode node = anyNode();
        if (node.frozen()) {
            return false;
        }
        node.freeze();
        fleet.outside().schedule(seconds(0, 8), () -> {
            if (node.alive() && node.frozen()) {
                node.thaw();
            }
        });
        return true;
    }

    private boolean drainNode() {
        FleetNode node = anyNode();
        if (settled() <= MIN_LIVE || node.draining() || node.frozen()) {
            return false;
        }
        fleet.addNode();
        node.drain().thenRun(node::kill);
        return true;
    }

    private boolean silenceLink() {
        fleet.network()
                .silence(anyNode().settings().link(), anyNode().settings().link());
        return true;
    }

    private boolean cut(String from, String to, boolean bothWays) {
        fleet.network().cut(from, to, true);
        fleet.network().cut(to, from, bothWays);
        fleet.outside().schedule(seconds(0, 6), () -> {
            fleet.network().cut(from, to, false);
            fleet.network().cut(to, from, false);
        });
        return true;
    }

    private boolean platform(PlatformFaults faults) {
        platformFaults++;
        int mine = platformFaults;
        fleet.store().faults(faults);
        fleet.outside().schedule(seconds(1, 10), () -> {
            if (mine == platformFaults) {
                fleet.store().faults(PlatformFaults.NONE);
            }
        });
        return true;
    }

    private boolean crashEngine() {
        StandInEngine engine = any(List.copyOf(fleet.engines().values()));
        engine.crash();
        fleet.outside().schedule(seconds(0, 3), engine::restart);
        return true;
    }

    private boolean engine(EngineFaults faults) {
        StandInEngine engine = any(List.copyOf(fleet.engines().values()));
        engine.faults(faults);
        fleet.outside().schedule(seconds(1, 5), () -> engine.faults(EngineFaults.NONE));
        return true;
    }

    private boolean tool(ToolFaults faults) {
        StandInTool tool = any(List.copyOf(fleet.tools().values()));
        tool.faults(faults);
        fleet.outside().schedule(seconds(1, 5), () -> tool.faults(ToolFaults.NONE));
        return true;
    }

    private boolean raceManifests() {
        fleet.live()
                .forEach(node -> node.run(() -> node.node()
                        .submitManifest(fleet.manifest(32 + random.nextInt(64)), -1)
                        .exceptionally(lostTheRace -> null)));
        return true;
    }

    private long settled() {
        return fleet.live().stream()
                .filter(node -> !node.draining() && !node.frozen())
                .count();
    }

    private FleetNode anyNode() {
        return any(fleet.live());
    }

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private Duration seconds(int from, int to) {
        return Duration.ofMillis(from * 1000L + random.nextLong((to - from) * 1000L));
    }
}
