package org.parsleydrift.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Encoding of a large frame as fragments, between which other frames may be sent on the same connection. A fragment is a
 * frame that begins with a byte that occurs neither at the start of a MessagePack value nor in UTF-8 text, followed by the
 * size of the whole frame and the offset of the fragment in it, 4 bytes each. The fragments of one frame follow each other
 * in order; those of two frames are not mixed.
 */
final class Fragments {
    /** Size of the content of a fragment, bytes. Another frame waits for one fragment at most. */
    static final int FRAGMENT_BYTES = 64 << 10;

    private static final byte MARK = (byte) 0xC1;
    private static final int HEADER_BYTES = 1 + 2 * Integer.BYTES;

    private Fragments() {}

    /** Returns the fragments of a frame in the order in which they are to be sent. */
    static Stream<ByteBuf> of(byte[] frame) {
        return IntStream.iterate(0, offset -> offset < frame.length, offset -> offset + FRAGMENT_BYTES)
                .mapToObj(offset -> Unpooled.wrappedBuffer(
                        header(frame.length, offset),
                        Unpooled.wrappedBuffer(frame, offset, Math.min(FRAGMENT_BYTES, frame.length - offset))));
    }

    private static ByteBuf header(int frameBytes, int offset) {
        return Unpooled.buffer(HEADER_BYTES)
                .writeByte(MARK)
                .writeInt(frameBytes)
                .writeInt(offset);
    }

    /** Returns whether a received frame is a fragment. */
    static boolean isFragment(ByteBuf received) {
        return received.readableBytes() >= HEADER_BYTES && received.getByte(received.readerIndex()) == MARK;
    }

    /** Joins the fragments that are received on one connection. Confined to its network thread. */
    static final class Assembler {
        private final int maxFrameBytes;
        private byte[] frame = new byte[0];
        private int received;

        /**
         * Creates an assembler.
         *
         * @param maxFrameBytes size of the largest frame that is accepted, bytes
         */
        Assembler(int maxFrameBytes) {
            this.maxFrameBytes = maxFrameBytes;
        }

        /**
         * Adds a fragment.
         *
         * @param fragment the fragment
         * @return the whole frame, if this is its last fragment
         * @throws IllegalArgumentException if the frame is too large, or a fragment before this one is missing; the other
         *     fragments of the frame are then ignored
         */
        Optional<byte[]> add(ByteBuf fragment) {
            fragment.skipBytes(1);
            int size = fragment.readInt();
            int offset = fragment.readInt();
            if (offset == 0) {
                start(size);
            }
            if (frame.length == 0) {
                return Optional.empty();
            }
            if (size != frame.length || offset != received || fragment.readableBytes() > size - offset) {
                int expected = received;
                discard();
                throw new IllegalArgumentException(
                        "fragment at " + offset + " of a frame of " + size + " bytes, expected one at " + expected);
            }
            int length = fragment.readableBytes();
            fragment.readBytes(frame, offset, length);
            received += length;
            if (received < frame.length) {
                return Optional.empty();
            }
            byte[] whole = frame;
            discard();
            return Optional.of(whole);
        }

        private void start(int size) {
            discard();
            if (size <= 0 || size > maxFrameBytes) {
                throw new IllegalArgumentException(
                        "a frame of " + size + " bytes exceeds the limit of " + maxFrameBytes + " bytes");
            }
            frame = new byte[size];
        }

        private void discard() {
            frame = new byte[0];
            received = 0;
        }
    }
}
