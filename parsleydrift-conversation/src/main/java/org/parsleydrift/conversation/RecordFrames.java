package org.parsleydrift.conversation;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/** Frames of records on disk: length, CRC-32C checksum, payload. The checksum detects partially written frames. */
final class RecordFrames {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_PAYLOAD_BYTES = 32 << 20;

    private RecordFrames() {}

    static ByteBuffer frame(byte[] bytes) {
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                .putInt(bytes.length)
                .putInt(checksum(bytes))
                .put(bytes)
                .flip();
    }

    /** Reads frames up to the first that is incomplete or corrupt; returns the number of bytes of valid frames. */
    static int read(byte[] file, Consumer<byte[]> frames) {
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int validBytes = 0;
        while (buffer.remaining() >= HEADER_BYTES) {
            int length = buffer.getInt();
            int checksum = buffer.getInt();
            if (length <= 0 || length > MAX_PAYLOAD_BYTES || length > buffer.remaining()) {
                return validBytes;
            }
            byte[] bytes = new byte[length];
            buffer.get(bytes);
            if (checksum(bytes) != checksum) {
                return validBytes;
            }
            frames.accept(bytes);
            validBytes = buffer.position();
        }
        return validBytes;
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }
}
