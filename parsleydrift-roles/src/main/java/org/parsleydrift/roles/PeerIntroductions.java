package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * Asks the peers that a node hears for those that they know, as long as it does not have the platform's list of nodes. Nodes
 * that start together while the platform is away would not learn of each other otherwise. Nodes of earlier versions ignore
 * the frames. Confined to the event loop.
 */
final class PeerIntroductions {
    private static final byte QUERY = 28;
    private static final byte PEERS = 29;
    /** Maximum number of peers in a frame; more are malformed. */
    private static final int MAX_PEERS = 4096;

    private final FrameSender frames;
    private final String ownLink;
    private final Supplier<List<NodeIdentity>> known;
    private final Consumer<NodeIdentity> receiver;
    private boolean listed;

    /**
     * Creates the introductions of a node without a list.
     *
     * @param frames sends frames to other nodes
     * @param ownLink link address of this node
     * @param known returns the peers that this node knows
     * @param receiver receives the peers that others know
     */
    PeerIntroductions(
            FrameSender frames, String ownLink, Supplier<List<NodeIdentity>> known, Consumer<NodeIdentity> receiver) {
        this.frames = frames;
        this.ownLink = ownLink;
        this.known = known;
        this.receiver = receiver;
    }

    /** Stops asking, as the platform's list has arrived. */
    void peersListed() {
        listed = true;
    }

    /** Asks a peer that has become ready, unless the platform has listed the peers. */
    void ask(NodeIdentity peer) {
        if (!listed) {
            frames.send(
                    peer.link(),
                    MessagePackFrames.encode(out -> out.packByte(QUERY).packString(ownLink)));
        }
    }

    /** Handles a frame; returns false if its type is not one of these. */
    boolean receive(byte[] frame) {
        if (frame.length == 0 || (frame[0] != QUERY && frame[0] != PEERS)) {
            return false;
        }
        MessagePackFrames.decode(frame, in -> {
            if (in.unpackByte() == QUERY) {
                frames.send(in.unpackString(), peersFrame());
            } else {
                readPeers(in).forEach(receiver);
            }
            return true;
        });
        return true;
    }

    private byte[] peersFrame() {
        List<NodeIdentity> peers = known.get();
        return MessagePackFrames.encode(out -> {
            out.packByte(PEERS).packArrayHeader(peers.size());
            for (NodeIdentity each : peers) {
                out.packString(each.name());
                NodeState.writeIdentity(out, Optional.of(each));
            }
        });
    }

    private static List<NodeIdentity> readPeers(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        if (count > MAX_PEERS) {
            throw new IOException("more than " + MAX_PEERS + " peers: " + count);
        }
        List<NodeIdentity> peers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            NodeState.readIdentity(in, in.unpackString()).ifPresent(peers::add);
        }
        return peers;
    }
}
