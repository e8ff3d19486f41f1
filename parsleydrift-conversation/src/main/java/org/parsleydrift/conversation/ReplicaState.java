package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * What a store VM knows of itself across restarts.
 *
 * @param disk the random id of its data
 * @param adopted the newest set that it has adopted, if any
 * @param completeEpoch the epoch up to which it holds all that was written before it; 0 for none
 */
record ReplicaState(String disk, Optional<StoreSet> adopted, long completeEpoch) {
    long adoptedEpoch() {
        return adopted.map(StoreSet::epoch).orElse(0L);
    }

    byte[] encode() {
        return MessagePackFrames.encode(out -> {
            out.packString(disk).packLong(completeEpoch);
            ConversationCodec.list(out, adopted.stream().toList(), ConversationCodec::set);
        });
    }

    static ReplicaState decode(byte[] bytes) {
        return MessagePackFrames.decode(bytes, in -> {
            String disk = in.unpackString();
            long complete = in.unpackLong();
            List<StoreSet> sets = ConversationCodec.list(in, ConversationCodec::set);
            return new ReplicaState(disk, sets.stream().findFirst(), complete);
        });
    }
}
