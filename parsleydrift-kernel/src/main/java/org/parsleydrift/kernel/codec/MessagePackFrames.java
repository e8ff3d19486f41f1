package org.parsleydrift.kernel.codec;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Frames written field by field, for processes whose start must be short: no reflection. */
public final class MessagePackFrames {
    private MessagePackFrames() {}

    /** Writes the fields of a frame. */
    public interface Writer {
        /**
         * Writes the fields.
         *
         * @param out where to
         * @throws IOException if a field has no encoding
         */
        void write(MessagePacker out) throws IOException;
    }

    /**
     * Reads the fields of a frame.
     *
     * @param <T> what they make
     */
    public interface Reader<T> {
        /**
         * Reads the fields.
         *
         * @param in where from
         * @return what they make
         * @throws IOException if the bytes are none of ours
         */
        T read(MessageUnpacker in) throws IOException;
    }

    /**
     * Makes a frame.
     *
     * @param writer writes the fields
     * @return the frame's bytes
     * @throws StepException if a field has no encoding
     */
    public static byte[] encode(Writer writer) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            writer.write(out);
            return out.toByteArray();
        } catch (IOException fault) {
            throw new StepException(Step.PARSE, "self", "cannot encode: " + fault.getMessage());
        }
    }

    /**
     * Reads a frame.
     *
     * @param bytes the frame
     * @param reader reads the fields
     * @param <T> what they make
     * @return what they make
     * @throws StepException if the bytes are none of ours
     */
    public static <T> T decode(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(in);
        } catch (IOException | RuntimeException fault) {
            throw new StepException(Step.PARSE, "peer", "bad frame: " + fault.getMessage());
        }
    }
}
