package org.parsleydrift.kernel.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Immutable data to MessagePack and back; fields added by a later version are passed over. */
public final class MessagePackCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private MessagePackCodec() {}

    /**
     * Encodes a value.
     *
     * @param value a record, or a collection of records
     * @return its bytes
     * @throws StepException if the value has no encoding
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException fault) {
            throw new StepException(Step.PARSE, "self", "cannot encode: " + fault.getMessage());
        }
    }

    /**
     * Decodes a value.
     *
     * @param bytes what {@link #encode} made
     * @param type the type to make
     * @param peer where the bytes came from, for the error
     * @param <T> the type to make
     * @return the value
     * @throws StepException if the bytes are no such value
     */
    public static <T> T decode(byte[] bytes, Class<T> type, String peer) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new StepException(Step.PARSE, peer, "empty MessagePack value");
            }
            return value;
        } catch (IOException fault) {
            throw new StepException(Step.PARSE, peer, "bad MessagePack: " + fault.getMessage());
        }
    }
}
