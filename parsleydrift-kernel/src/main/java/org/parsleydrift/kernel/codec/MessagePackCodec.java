package org.parsleydrift.kernel.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Converts records to MessagePack and back. Unknown fields, such as those added by a later version, are ignored. */
public final class MessagePackCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private MessagePackCodec() {}

    /**
     * Encodes a value.
     *
     * @param value a record or a collection of records
     * @return the encoded value
     * @throws StepException if the value cannot be encoded
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new StepException(Step.PARSE, "self", "cannot encode value as MessagePack: " + e.getMessage());
        }
    }

    /**
     * Decodes a value.
     *
     * @param bytes the value as encoded by {@link #encode}
     * @param type the target type
     * @param peer the source of the bytes, reported in errors
     * @param <T> the target type
     * @return the decoded value, never null
     * @throws StepException if the bytes are malformed, do not match the type, or encode null
     */
    public static <T> T decode(byte[] bytes, Class<T> type, String peer) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new StepException(Step.PARSE, peer, "MessagePack value is null");
            }
            return value;
        } catch (IOException e) {
            throw new StepException(Step.PARSE, peer, "malformed MessagePack value: " + e.getMessage());
        }
    }
}
