package org.parsleydrift.bench;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.node.peer.PeerEnvelope;

/** Connections of a fleet: a delay, and connections or whole ways that fall silent. */
public final class FleetNetwork {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final ManualEventLoop loop;
    private final Fleet fleet;
    private final Set<String> silentConnections = new HashSet<>();
    private final Set<String> cutRoutes = new HashSet<>();
    private long frames;
    private long bytes;

    FleetNetwork(ManualScheduler scheduler, Fleet fleet) {
        this.loop = scheduler.newLoop();
        this.fleet = fleet;
    }

    /**
     * Makes the open connection between two ends silent for good; a new one works.
     *
     * @param from one end
     * @param to the other end
     */
    public void silence(String from, String to) {
        silentConnections.add(from + ">" + to);
    }

    /**
     * Opens a new connection.
     *
     * @param from one end
     * @param to the other end
     */
    public void reset(String from, String to) {
        silentConnections.remove(from + ">" + to);
    }

    /**
     * Cuts a way, or heals it; while it is cut no connection works.
     *
     * @param from one end
     * @param to the other end
     * @param cut whether it is cut
     */
    public void cut(String from, String to, boolean cut) {
        if (cut) {
            cutRoutes.add(from + ">" + to);
        } else {
            cutRoutes.remove(from + ">" + to);
        }
    }

    /** Heals all ways. */
    public void heal() {
        cutRoutes.clear();
    }

    /**
     * Whether something sent arrives.
     *
     * @param from one end
     * @param to the other end
     * @return false if it is lost
     */
    public boolean isReachable(String from, String to) {
        return !silentConnections.contains(from + ">" + to) && !cutRoutes.contains(from + ">" + to);
    }

    /**
     * Frames between nodes since the start.
     *
     * @return their number
     */
    public long frames() {
        return frames;
    }

    /**
     * Bytes between nodes since the start.
     *
     * @return their number
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
