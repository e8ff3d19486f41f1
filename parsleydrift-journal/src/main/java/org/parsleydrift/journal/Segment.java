package org.parsleydrift.journal;

import com.github.luben.zstd.Zstd;
import java.util.List;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.MessagePackCodec;

/**
 * One object of a journal: either records of its owner, or the seal that ends it (docs/design/journal.md).
 *
 * @param incarnation the owner
 * @param sequence its number in the journal
 * @param base segments below this number hold nothing that is still needed
 * @param records the owner's records, in order; empty in a seal
 * @param seal the seal, or null in the owner's segments
 */
public record Segment(String incarnation, long sequence, long base, List<byte[]> records, Seal seal) {
    private static final int COMPRESSION_LEVEL = 3;
    private static final int MAX_RAW_BYTES = 64 << 20;

    /**
     * Whether this segment ends the journal.
     *
     * @return true for a seal
     */
    public boolean hasSeal() {
        return seal != null;
    }

    byte[] encode() {
        return Zstd.compress(MessagePackCodec.encode(this), COMPRESSION_LEVEL);
    }

    static Segment decode(byte[] bytes, String key) {
        long size = Zstd.getFrameContentSize(bytes);
        if (size < 0 || size > MAX_RAW_BYTES) {
            throw new StepException(Step.TAKEOVER, key, "segment is damaged");
        }
        return MessagePackCodec.decode(Zstd.decompress(bytes, (int) size), Segment.class, key);
    }
}
