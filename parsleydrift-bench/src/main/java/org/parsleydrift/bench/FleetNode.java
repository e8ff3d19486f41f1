package org.parsleydrift.bench;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.node.Node;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerLinks;

/** A node of an in-memory fleet that can be killed, paused and drained. */
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

    /** Kills the process immediately and closes its connections. */
    public void kill() {
        loop.kill();
        alive = false;
        upstreams.closeAll();
    }

    /** Pauses the VM; its connections stay open but carry no traffic. */
    public void pause() {
        paused = true;
        loop.pause();
    }

    /** Resumes a paused VM. */
    public void resume() {
        paused = false;
        loop.resume();
    }

    /**
     * Starts a drain, as SIGTERM does.
     *
     * @return a future that completes when the process would exit
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        loop.execute(() -> node.drain().thenRun(() -> drained.complete(null)));
        return drained;
    }

    /**
     * Runs a task on the node's event loop.
     *
     * @param task the task, discarded if the process is killed first
     */
    public void run(Runnable task) {
        loop.execute(task);
    }

    /**
     * Returns the node under test.
     *
     * @return the node of the current process
     */
    public Node node() {
        return node;
    }

    /**
     * Returns the node's settings.
     *
     * @return the settings
     */
    public NodeSettings settings() {
        return settings;
    }

    /**
     * Returns whether the process is running.
     *
     * @return true unless it was killed; a paused process is running
     */
    public boolean isAlive() {
        return alive;
    }

    /**
     * Returns whether the VM is paused.
     *
     * @return true between pause and resume
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Returns whether a drain was started.
     *
     * @return true from the start of a drain until a restart
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Verifies that the manifest generation never decreases, also across restarts. Generation 0 means that a new
     * process has no manifest yet.
     *
     * @throws AssertionError if the generation decreased
     */
    public void checkGeneration() {
        long now = node.manifest().generation();
        if (now != 0 && now < highestGeneration) {
            throw new AssertionError(
                    settings.vm() + " manifest generation decreased from " + highestGeneration + " to " + now);
        }
        highestGeneration = Math.max(now, highestGeneration);
    }

    void receive(PeerEnvelope envelope) {
        loop.execute(() -> node.receive(envelope));
    }
}
