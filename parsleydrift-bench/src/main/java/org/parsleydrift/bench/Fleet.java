package org.parsleydrift.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.standin.EngineSpeed;
import org.parsleydrift.standin.InMemoryObjectStore;
import org.parsleydrift.standin.StandInEngine;
import org.parsleydrift.standin.StandInTool;

/**
 * An in-memory fleet: nodes with the daemon's own code against stand-ins of all external systems, on virtual time in a
 * single thread. The network is modelled by a fixed delay and by connections that drop all traffic.
 */
public final class Fleet {
    private static final Duration STORE_LATENCY = Duration.ofMillis(2);
    private static final Duration TOOL_LATENCY = Duration.ofMillis(30);
    private static final EngineSpeed ENGINE_SPEED = new EngineSpeed(16, 20, 5000, 200_000);
    private static final int ZONES = 3;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final SplittableRandom random;
    private final ManualEventLoop externalLoop;
    private final InMemoryObjectStore store;
    private final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    private final Map<String, StandInTool> tools = new LinkedHashMap<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final FleetNetwork network;
    private int nextVm = 1;

    /**
     * Creates a fleet and starts its nodes.
     *
     * @param options the seed and size
     */
    public Fleet(FleetOptions options) {
        this.random = new SplittableRandom(options.seed());
        this.externalLoop = scheduler.newLoop();
        this.store = new InMemoryObjectStore(externalLoop, random.split(), STORE_LATENCY);
        this.network = new FleetNetwork(scheduler, this);
        IntStream.range(0, options.engines())
                .mapToObj(i -> "10.0.1." + (i + 1) + ":80")
                .forEach(address ->
                        engines.put(address, new StandInEngine(address, externalLoop, random.split(), ENGINE_SPEED)));
        IntStream.range(0, options.tools())
                .mapToObj(i -> "10.0.2." + (i + 1) + ":80")
                .forEach(address ->
                        tools.put(address, new StandInTool(address, externalLoop, random.split(), TOOL_LATENCY)));
        IntStream.range(0, options.nodes()).forEach(i -> addNode());
    }

    /**
     * Starts a node on a new VM.
     *
     * @return the new node
     */
    public FleetNode addNode() {
        int number = nextVm++;
        NodeSettings settings = new NodeSettings(
                "vm" + number,
                "zone" + number % ZONES,
                "10.0.0." + number + ":80",
                "10.0.0." + number + ":81",
                NodeSettings.Timings.defaults());
        FleetNode node = new FleetNode(this, settings);
        nodes.add(node);
        node.start();
        return node;
    }

    /**
     * Creates a manifest for this fleet's upstreams.
     *
     * @param turnTokens the maximum number of tokens of a turn
     * @return the manifest as JSON
     */
    public String manifest(int turnTokens) {
        String runners = engines.keySet().stream()
                .map(address -> "{\"address\":\"" + address + "\",\"slots\":16}")
                .collect(Collectors.joining(","));
        String upstreams =
                tools.keySet().stream().map(address -> "\"" + address + "\"").collect(Collectors.joining(","));
        String once = "{\"upstreams\":[" + upstreams + "],\"repeatable\":false,\"timeout_seconds\":3}";
        String often = "{\"upstreams\":[" + upstreams + "],\"repeatable\":true,\"timeout_seconds\":3}";
        return """
                {"deployment": "fleet",
                 "models": {"m": {"runners": [%s]}},
                 "agents": {"a": {"model": "m", "turn_tokens": %d, "budget":
                   {"tokens": 4000, "turns": 80, "calls": 40, "seconds": 1200, "depth": 2, "children": 8}}},
                 "tools": {"once": %s, "often": %s},
                 "services": {"issue": %s, "lookup": %s}}
                """.formatted(runners, turnTokens, once, often, once, often);
    }

    /**
     * Submits a manifest and waits until every live node is ready.
     *
     * @param text the manifest as JSON
     * @throws AssertionError if a node is not ready within 30 s of virtual time
     */
    public void submit(String text) {
        FleetNode first = liveNodes().getFirst();
        first.run(() -> first.node().submitManifest(text, -1));
        awaitTrue(
                Duration.ofSeconds(30),
                () -> liveNodes().stream().allMatch(node -> node.node().isReady()));
    }

    /**
     * Advances virtual time in small steps until a condition holds.
     *
     * @param limit the maximum virtual time to wait
     * @param condition the condition, evaluated after each step
     * @throws AssertionError if the condition does not hold within the limit
     */
    public void awaitTrue(Duration limit, BooleanSupplier condition) {
        long end = scheduler.nanos() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (scheduler.nanos() >= end) {
                throw new AssertionError("condition did not hold within " + limit + " of virtual time");
            }
            scheduler.advance(Duration.ofMillis(20));
        }
    }

    /**
     * Advances virtual time and runs the tasks that become due.
     *
     * @param span the time to advance by
     */
    public void advance(Duration span) {
        scheduler.advance(span);
    }

    /**
     * Returns the virtual clock and scheduler.
     *
     * @return the scheduler
     */
    public ManualScheduler scheduler() {
        return scheduler;
    }

    /**
     * Returns the seeded random generator of this run.
     *
     * @return the generator
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Returns the event loop of the external systems.
     *
     * @return the loop
     */
    public ManualEventLoop externalLoop() {
        return externalLoop;
    }

    /**
     * Returns the object store of the platform.
     *
     * @return the stand-in
     */
    public InMemoryObjectStore store() {
        return store;
    }

    /**
     * Returns the model engines.
     *
     * @return stand-ins by address
     */
    public Map<String, StandInEngine> engines() {
        return engines;
    }

    /**
     * Returns the tool services.
     *
     * @return stand-ins by address
     */
    public Map<String, StandInTool> tools() {
        return tools;
    }

    /**
     * Returns the simulated network.
     *
     * @return the network
     */
    public FleetNetwork network() {
        return network;
    }

    /**
     * Returns all nodes ever started, including dead ones.
     *
     * @return the nodes in the order of their start
     */
    public List<FleetNode> nodes() {
        return nodes;
    }

    /**
     * Returns the nodes whose process is running, including paused ones.
     *
     * @return the live nodes
     */
    public List<FleetNode> liveNodes() {
        return nodes.stream().filter(FleetNode::isAlive).toList();
    }
}
