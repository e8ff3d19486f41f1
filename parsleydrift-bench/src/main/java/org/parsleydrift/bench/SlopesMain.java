package org.parsleydrift.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Measures how the overhead of control traffic scales with the number of nodes and programs, on in-memory fleets:
 * {@code bin/bench slopes}. Costs are per node and virtual second; CPU time includes that of the stand-ins.
 */
public final class SlopesMain {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(20);
    private static final int MAX_WAITING_PROGRAMS = 4000;

    private SlopesMain() {}

    /**
     * Runs the measurements and prints a line for each.
     *
     * @param arguments {@code --quick} to run only the smaller sizes
     */
    public static void main(String[] arguments) {
        boolean quick = List.of(arguments).contains("--quick");
        System.out.println("idle fleet, per node and second");
        List.of(3, 9, 27, 81).stream().filter(nodes -> !quick || nodes <= 27).forEach(SlopesMain::idle);
        System.out.println("programs that wait for a message, 3 nodes, per program");
        List.of(0, 1000, MAX_WAITING_PROGRAMS).stream()
                .filter(count -> !quick || count <= 1000)
                .forEach(SlopesMain::waiting);
        System.out.println("takeover of one of 9 nodes, virtual milliseconds until all its programs go on");
        takeover(quick ? 100 : 300);
    }

    private static void idle(int nodes) {
        Fleet fleet = fleet(nodes);
        Sample before = Sample.of(fleet);
        fleet.advance(MEASUREMENT_TIME);
        Sample cost = Sample.of(fleet).minus(before);
        double per = nodes * (double) MEASUREMENT_TIME.toSeconds();
        System.out.printf(
                "slopes idle nodes=%d frames=%.1f bytes=%.0f platform_reads=%.2f platform_writes=%.3f cpu_ms=%.2f%n",
                nodes,
                cost.frames / per,
                cost.bytes / per,
                cost.reads / per,
                cost.writes / per,
                cost.cpuNanos / per / 1e6);
    }

    private static void waiting(int count) {
        Fleet fleet = fleet(3);
        long heapBefore = heapBytes();
        Sample before = Sample.of(fleet);
        List<FleetCaller> callers = new ArrayList<>();
        IntStream.range(0, count).forEach(i -> {
            FleetCaller caller = new FleetCaller(fleet, "w" + i, "x".repeat(400) + " <say 6, wait / say 2, end>", 0);
            callers.add(caller);
            caller.begin();
            if (i % 50 == 0) {
                fleet.advance(Duration.ofMillis(50));
            }
        });
        fleet.advance(MEASUREMENT_TIME);
        Sample cost = Sample.of(fleet).minus(before);
        System.out.printf(
                "slopes programs count=%d heap_bytes_each=%.0f platform_writes_each=%.3f open=%d%n",
                count,
                count == 0 ? 0 : (heapBytes() - heapBefore) / (double) count,
                count == 0 ? 0 : cost.writes / (double) count,
                callers.stream().filter(caller -> !caller.isDone()).count());
    }

    private static void takeover(int programs) {
        Fleet fleet = fleet(9);
        List<FleetCaller> callers = new ArrayList<>();
        IntStream.range(0, programs).forEach(i -> {
            FleetCaller caller = new FleetCaller(fleet, "t" + i, "x <" + "say 8 / ".repeat(70) + "say 2, end>", 0);
            callers.add(caller);
            caller.begin();
        });
        fleet.advance(Duration.ofSeconds(2));
        FleetNode dead = fleet.nodes().getFirst();
        List<FleetCaller> affected = callers.stream()
                .filter(caller -> dead.node().programs().containsKey(caller.id()))
                .toList();
        dead.kill();
        long killedNanos = fleet.scheduler().nanos();
        List<Long> millis = new ArrayList<>();
        List<FleetCaller> open = new ArrayList<>(affected);
        while (!open.isEmpty() && millis.size() < affected.size()) {
            fleet.advance(Duration.ofMillis(10));
            long now = (fleet.scheduler().nanos() - killedNanos) / 1_000_000;
            open.removeIf(caller -> {
                boolean isResumed =
                        fleet.liveNodes().stream().anyMatch(node -> node.node().isRunning(caller.id()));
                if (isResumed) {
                    millis.add(now);
                }
                return isResumed || now > 60_000;
            });
        }
        millis.sort(null);
        System.out.printf(
                "slopes takeover stranded=%d again=%d p50_ms=%d p99_ms=%d%n",
                affected.size(),
                millis.size(),
                millis.get(millis.size() / 2),
                millis.get(Math.min(millis.size() - 1, millis.size() * 99 / 100)));
    }

    private static Fleet fleet(int nodes) {
        Fleet fleet = new Fleet(new FleetOptions(1, nodes, 6, 2));
        fleet.advance(SETTLE_TIME);
        fleet.submit(fleet.manifest(32));
        fleet.advance(SETTLE_TIME);
        return fleet;
    }

    private static long heapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private record Sample(long frames, long bytes, long reads, long writes, long cpuNanos) {
        private static Sample of(Fleet fleet) {
            return new Sample(
                    fleet.network().frames(),
                    fleet.network().bytes(),
                    fleet.store().counts().get("reads"),
                    fleet.store().counts().get("writes"),
                    ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
        }

        private Sample minus(Sample before) {
            return new Sample(
                    frames - before.frames,
                    bytes - before.bytes,
                    reads - before.reads,
                    writes - before.writes,
                    cpuNanos - before.cpuNanos);
        }
    }
}
