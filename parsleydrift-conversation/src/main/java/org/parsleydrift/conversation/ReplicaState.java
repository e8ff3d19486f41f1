package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * The state of a store VM that persists across restarts.
 *
 * @param disk the random ID of the data on its disk
 * @param adopted the newest set that it has adopted, if any
 * @param completeEpoch the latest epoch at which it held all committed records of earlier epochs; 0 for none
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
