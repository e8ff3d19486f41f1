package org.parsleydrift.kernel.codec;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Encodes and decodes MessagePack frames field by field, without the startup cost of reflection. */
public final class MessagePackFrames {
    private MessagePackFrames() {}

    /** Writes the fields of a frame. */
    public interface Writer {
        /**
         * Writes the fields.
         *
         * @param out the packer to write to
         * @throws IOException if a field cannot be encoded
         */
        void write(MessagePacker out) throws IOException;
    }

    /**
     * Reads the fields of a frame.
     *
     * @param <T> the type of the decoded value
     */
    public interface Reader<T> {
        /**
         * Reads the fields.
         *
         * @param in the unpacker to read from
         * @return the decoded value
         * @throws IOException if the frame is malformed
         */
        T read(MessageUnpacker in) throws IOException;
    }

    /**
     * Encodes a frame.
     *
     * @param writer writes the fields
     * @return the encoded frame
     * @throws StepException if a field cannot be encoded
     */
    public static byte[] encode(Writer writer) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            writer.write(out);
            return out.toByteArray();
        } catch (IOException e) {
            throw new StepException(Step.PARSE, "self", "cannot encode frame as MessagePack: " + e.getMessage());
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the encoded frame
     * @param reader reads the fields
     * @param <T> the type of the decoded value
     * @return the decoded value
     * @throws StepException if the frame is malformed
     */
    public static <T> T decode(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(in);
        } catch (IOException | RuntimeException e) {
            throw new StepException(Step.PARSE, "peer", "malformed MessagePack frame: " + e.getMessage());
        }
    }
}
