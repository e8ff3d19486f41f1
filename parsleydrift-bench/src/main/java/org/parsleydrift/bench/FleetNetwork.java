package org.parsleydrift.bench;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.node.peer.PeerEnvelope;

/** The simulated network of a fleet: a fixed delay, stalled connections and cut routes. */
public final class FleetNetwork {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final ManualEventLoop loop;
    private final Fleet fleet;
    private final Set<String> stalledConnections = new HashSet<>();
    private final Set<String> cutRoutes = new HashSet<>();
    private long frames;
    private long bytes;

    FleetNetwork(ManualScheduler scheduler, Fleet fleet) {
        this.loop = scheduler.newLoop();
        this.fleet = fleet;
    }

    /**
     * Stalls the open connection between two endpoints until it is reset.
     *
     * @param from one end
     * @param to the other end
     */
    public void stall(String from, String to) {
        stalledConnections.add(from + ">" + to);
    }

    /**
     * Replaces a stalled connection by a new one.
     *
     * @param from one end
     * @param to the other end
     */
    public void reset(String from, String to) {
        stalledConnections.remove(from + ">" + to);
    }

    /**
     * Cuts or restores the route in one direction; nothing is delivered on a cut route.
     *
     * @param from one end
     * @param to the other end
     * @param cut true to cut the route, false to restore it
     */
    public void cut(String from, String to, boolean cut) {
        if (cut) {
            cutRoutes.add(from + ">" + to);
        } else {
            cutRoutes.remove(from + ">" + to);
        }
    }

    /** Restores all cut routes. */
    public void heal() {
        cutRoutes.clear();
    }

    /**
     * Returns whether traffic in one direction is delivered.
     *
     * @param from one end
     * @param to the other end
     * @return false if the connection is stalled or the route is cut
     */
    public boolean isReachable(String from, String to) {
        return !stalledConnections.contains(from + ">" + to) && !cutRoutes.contains(from + ">" + to);
    }

    /**
     * Returns the number of frames sent between nodes.
     *
     * @return the count since the start, including lost frames
     */
    public long frames() {
        return frames;
    }

    /**
     * Returns the number of bytes sent between nodes.
     *
     * @return the count since the start, including lost frames
     */
    public long bytes() {
        return bytes;
    }

    void send(String from, String to, PeerEnvelope envelope) {
        byte[] frame = MessagePackCodec.encode(envelope);
        frames++;
        bytes += frame.length;
        if (!isReachable(from, to)) {
            return;
        }
        loop.schedule(
                DELAY,
                () -> fleet.liveNodes().stream()
                        .filter(node -> node.settings().link().equals(to))
                        .findFirst()
                        .ifPresent(node -> node.receive(MessagePackCodec.decode(frame, PeerEnvelope.class, from))));
    }
}
