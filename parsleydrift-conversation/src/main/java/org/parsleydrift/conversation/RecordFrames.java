package org.parsleydrift.conversation;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
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

    /**
     * Reads frames from a stream, one at a time, up to the first that is incomplete or corrupt.
     *
     * @param in the stream
     * @param size number of bytes that the stream holds
     * @param frames receives the payloads
     * @return number of bytes of valid frames
     * @throws IOException if the stream cannot be read
     */
    static long read(InputStream in, long size, Consumer<byte[]> frames) throws IOException {
        DataInputStream data = new DataInputStream(in);
        long validBytes = 0;
        while (size - validBytes >= HEADER_BYTES) {
            int length = data.readInt();
            int checksum = data.readInt();
            if (length <= 0 || length > MAX_PAYLOAD_BYTES || length > size - validBytes - HEADER_BYTES) {
                return validBytes;
            }
            byte[] bytes = data.readNBytes(length);
            if (bytes.length < length || checksum(bytes) != checksum) {
                return validBytes;
            }
            frames.accept(bytes);
            validBytes += HEADER_BYTES + length;
        }
        return validBytes;
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }
}
