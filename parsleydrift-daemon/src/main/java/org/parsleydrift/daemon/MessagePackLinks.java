package org.parsleydrift.daemon;

import java.util.function.Consumer;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.node.peer.PeerEnvelope;
import org.parsleydrift.node.peer.PeerLinks;
import org.parsleydrift.wire.FrameLinks;
import org.parsleydrift.wire.NetworkThreads;

/** Connections between nodes that carry MessagePack messages in TCP frames. */
final class MessagePackLinks implements PeerLinks, AutoCloseable {
    private final FrameLinks frames;

    MessagePackLinks(NetworkThreads threads, EventLoop loop, Consumer<PeerEnvelope> receiver) {
        frames = new FrameLinks(threads, bytes -> {
            PeerEnvelope envelope = MessagePackCodec.decode(bytes, PeerEnvelope.class, "peer");
            loop.execute(() -> receiver.accept(envelope));
        });
    }

    /** Starts listening for connections of peers. */
    void listen(String host, int port) {
        frames.listen(host, port);
    }

    @Override
    public void send(String address, PeerEnvelope envelope) {
        frames.send(address, MessagePackCodec.encode(envelope));
    }

    @Override
    public void reset(String address) {
        frames.reset(address);
    }

    @Override
    public void close() {
        frames.close();
    }
}
