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

/** Injects overlapping faults at random times and ends each after a random duration. */
final class FaultInjector {
    private static final int MIN_LIVE = 2;

    private final Fleet fleet;
    private final Set<FaultKind> kinds;
    private final SplittableRandom random;
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private int platformFaultCount;
    private boolean stopped;

    FaultInjector(Fleet fleet, Set<FaultKind> kinds) {
        this.fleet = fleet;
        this.kinds = kinds;
        this.random = fleet.random().split();
    }

    Map<FaultKind, Integer> counts() {
        return counts;
    }

    void scheduleNext(Duration meanPause) {
        if (stopped || kinds.isEmpty()) {
            return;
        }
        Duration pause = Duration.ofMillis(1 + random.nextLong(2 * meanPause.toMillis()));
        fleet.externalLoop().schedule(pause, () -> {
            if (!stopped) {
                List<FaultKind> all = List.copyOf(kinds);
                FaultKind kind = all.get(random.nextInt(all.size()));
                if (inject(kind)) {
                    counts.merge(kind, 1, Integer::sum);
                }
                scheduleNext(meanPause);
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
            case LINK_SILENT -> stallLink();
            case LINK_CUT ->
                cutRoute(randomNode().settings().link(), randomNode().settings().link(), true);
            case PLATFORM_CUT -> cutRoute(randomNode().settings().vm(), DisconnectableObjectStore.PLATFORM, false);
            case PLATFORM_OUTAGE -> injectPlatformFault(new PlatformFaults(true, 0, 0, false, 0));
            case PLATFORM_SLOW -> injectPlatformFault(new PlatformFaults(false, 1900, 0, false, 0));
            case PLATFORM_ANSWERS_LOST -> injectPlatformFault(new PlatformFaults(false, 0, 0.3, true, 0));
            case ENGINE_CRASHED -> crashEngine();
            case ENGINE_LEAVING -> injectEngineFault(new EngineFaults(true, false, 0));
            case ENGINE_BREAKS -> injectEngineFault(new EngineFaults(false, false, 0.3));
            case ENGINE_CUT ->
                cutRoute(
                        randomNode().settings().vm(),
                        randomElement(List.copyOf(fleet.engines().keySet())),
                        false);
            case TOOL_ANSWERS_LOST -> injectToolFault(new ToolFaults(false, false, 0.5));
            case TOOL_LEAVING -> injectToolFault(new ToolFaults(true, false, 0));
            case MANIFEST_RACE -> submitConcurrentManifests();
        };
    }

    private boolean killNode() {
        FleetNode node = randomNode();
        if (activeNodeCount() <= MIN_LIVE || node.isDraining()) {
            return false;
        }
        node.kill();
        fleet.externalLoop().schedule(seconds(1, 6), node::start);
        return true;
    }

    private boolean pauseNode() {
        FleetNode node = randomNode();
        if (node.isPaused()) {
            return false;
        }
        node.pause();
        fleet.externalLoop().schedule(seconds(0, 8), () -> {
            if (node.isAlive() && node.isPaused()) {
                node.resume();
            }
        });
        return true;
    }

    private boolean drainNode() {
        FleetNode node = randomNode();
        if (activeNodeCount() <= MIN_LIVE || node.isDraining() || node.isPaused()) {
            return false;
        }
        fleet.addNode();
        node.drain().thenRun(node::kill);
        return true;
    }

    private boolean stallLink() {
        fleet.network()
                .stall(randomNode().settings().link(), randomNode().settings().link());
        return true;
    }

    private boolean cutRoute(String from, String to, boolean bothWays) {
        fleet.network().cut(from, to, true);
        fleet.network().cut(to, from, bothWays);
        fleet.externalLoop().schedule(seconds(0, 6), () -> {
            fleet.network().cut(from, to, false);
            fleet.network().cut(to, from, false);
        });
        return true;
    }

    private boolean injectPlatformFault(PlatformFaults faults) {
        platformFaultCount++;
        int faultNumber = platformFaultCount;
        fleet.store().faults(faults);
        fleet.externalLoop().schedule(seconds(1, 10), () -> {
            if (faultNumber == platformFaultCount) {
                fleet.store().faults(PlatformFaults.NONE);
            }
        });
        return true;
    }

    private boolean crashEngine() {
        StandInEngine engine = randomElement(List.copyOf(fleet.engines().values()));
        engine.crash();
        fleet.externalLoop().schedule(seconds(0, 3), engine::restart);
        return true;
    }

    private boolean injectEngineFault(EngineFaults faults) {
        StandInEngine engine = randomElement(List.copyOf(fleet.engines().values()));
        engine.faults(faults);
        fleet.externalLoop().schedule(seconds(1, 5), () -> engine.faults(EngineFaults.NONE));
        return true;
    }

    private boolean injectToolFault(ToolFaults faults) {
        StandInTool tool = randomElement(List.copyOf(fleet.tools().values()));
        tool.faults(faults);
        fleet.externalLoop().schedule(seconds(1, 5), () -> tool.faults(ToolFaults.NONE));
        return true;
    }

    private boolean submitConcurrentManifests() {
        fleet.liveNodes()
                .forEach(node -> node.run(() -> node.node()
                        .submitManifest(fleet.manifest(32 + random.nextInt(64)), -1)
                        .exceptionally(conflict -> null)));
        return true;
    }

    private long activeNodeCount() {
        return fleet.liveNodes().stream()
                .filter(node -> !node.isDraining() && !node.isPaused())
                .count();
    }

    private FleetNode randomNode() {
        return randomElement(fleet.liveNodes());
    }

    private <T> T randomElement(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private Duration seconds(int from, int to) {
        return Duration.ofMillis(from * 1000L + random.nextLong((to - from) * 1000L));
    }
}
