package org.parsleydrift.bench;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.node.Node;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerLinks;

/** One VM of an in-memory fleet; it can be killed, paused and drained. */
public final class FleetNode {
    private final Fleet fleet;
    private final NodeSettings settings;
    private ManualEventLoop loop;
    private Node node;
    private FleetUpstreams upstreams;
    private boolean alive;
    private boolean paused;
    private boolean draining;
    private long highestGeneration;

    FleetNode(Fleet fleet, NodeSettings settings) {
        this.fleet = fleet;
        this.settings = settings;
    }

    void start() {
        loop = fleet.scheduler().newLoop();
        upstreams = new FleetUpstreams(fleet, settings.vm());
        alive = true;
        paused = false;
        draining = false;
        PeerLinks links = new PeerLinks() {
            @Override
            public void send(String address, PeerEnvelope envelope) {
                fleet.network().send(settings.link(), address, envelope);
            }

            @Override
            public void reset(String address) {
                fleet.network().reset(settings.link(), address);
            }
        };
        NodeEnvironment environment = new NodeEnvironment(
                loop,
                new DisconnectableObjectStore(fleet, settings.vm()),
                upstreams,
                upstreams,
                links,
                fleet.random().split(),
                new SimpleMeterRegistry());
        node = new Node(environment, settings);
    }

    /** The process dies at once; its connections close. */
    public void kill() {
        loop.kill();
        alive = false;
        upstreams.closeAll();
    }

    /** The VM pauses; its connections stay open and silent. */
    public void pause() {
        paused = true;
        loop.pause();
    }

    /** The VM goes on. */
    public void resume() {
        paused = false;
        loop.resume();
    }

    /**
     * SIGTERM.
     *
     * @return completes when the process would exit
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        loop.execute(() -> node.drain().thenRun(() -> drained.complete(null)));
        return drained;
    }

    /**
     * Runs a task on the node's loop.
     *
     * @param task what to run
     */
    public void run(Runnable task) {
        loop.execute(task);
    }

    /**
     * The node's facade.
     *
     * @return the node
     */
    public Node node() {
        return node;
    }

    /**
     * Its settings.
     *
     * @return the settings
     */
    public NodeSettings settings() {
        return settings;
    }

    /**
     * Whether the process is up.
     *
     * @return true unless it was killed
     */
    public boolean isAlive() {
        return alive;
    }

    /**
     * Whether it is paused.
     *
     * @return true between freeze and thaw
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Whether it drains.
     *
     * @return true after SIGTERM
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Checks that the manifest in force never goes back, over restarts as well; a process that has just begun has none
     * and serves nothing.
     *
     * @throws AssertionError if it did
     */
    public void checkGeneration() {
        long now = node.manifest().generation();
        if (now != 0 && now < highestGeneration) {
            throw new AssertionError(settings.vm() + " went back from generation " + highestGeneration + " to " + now);
        }
        highestGeneration = Math.max(now, highestGeneration);
    }

    void receive(PeerEnvelope envelope) {
        loop.execute(() -> node.receive(envelope));
    }
}
