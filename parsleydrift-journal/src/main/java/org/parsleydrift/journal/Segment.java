package org.parsleydrift.journal;

import com.github.luben.zstd.Zstd;
import java.util.List;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.MessagePackCodec;

/**
 * One object of a journal, which contains either records of the owner or the seal that ends the journal.
 *
 * @param incarnation the owner of the journal
 * @param sequence the sequence number in the journal, from 1
 * @param base the sequence number of the lowest segment needed for recovery
 * @param records the owner's records, in order; empty if this is the seal
 * @param seal the seal, or null in a segment of records
 */
public record Segment(String incarnation, long sequence, long base, List<byte[]> records, Seal seal) {
    private static final int COMPRESSION_LEVEL = 3;
    private static final int MAX_RAW_BYTES = 64 << 20;

    /**
     * Returns whether this segment is the seal that ends the journal.
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
            throw new StepException(
                    Step.TAKEOVER,
                    key,
                    "corrupt journal segment: uncompressed size " + size + ", expected 0 to " + MAX_RAW_BYTES);
        }
        return MessagePackCodec.decode(Zstd.decompress(bytes, (int) size), Segment.class, key);
    }
}
