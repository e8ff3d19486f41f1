package org.parsleydrift.roles;

import java.util.function.Consumer;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.wire.FrameLinks;

/** Sends and receives frames between the processes of the system over TCP, at the link address of the settings. */
final class TcpFrameSender implements FrameSender {
    private final FrameLinks links;
    private final Address link;

    TcpFrameSender(ProcessContext context, Consumer<byte[]> receiver) {
        link = context.settings.link();
        links = new FrameLinks(context.threads, receiver);
    }

    /** Starts to receive frames. */
    void listen() {
        links.listen(link.host(), link.port());
    }

    @Override
    public void send(String address, byte[] frame) {
        links.send(address, frame);
    }

    @Override
    public int maxFrameBytes() {
        return FrameLinks.MAX_FRAME_BYTES;
    }

    @Override
    public void reset(String address) {
        links.reset(address);
    }
}
