package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * The state of a store VM that persists across restarts.
 *
 * @param diskId the random ID of the data on its disk
 * @param adoptedSet the newest set that it has adopted, if any
 * @param completeEpoch the latest epoch at which it held all committed records of earlier epochs; 0 for none
 */
record ReplicaState(String diskId, Optional<StoreSet> adoptedSet, long completeEpoch) {
    long adoptedEpoch() {
        return adoptedSet.map(StoreSet::epoch).orElse(0L);
    }

    byte[] encode() {
        return MessagePackFrames.encode(out -> {
            out.packString(diskId).packLong(completeEpoch);
            ConversationCodec.list(out, adoptedSet.stream().toList(), ConversationCodec::set);
        });
    }

    static ReplicaState decode(byte[] bytes) {
        return MessagePackFrames.decode(bytes, in -> {
            String diskId = in.unpackString();
            long completeEpoch = in.unpackLong();
            List<StoreSet> sets = ConversationCodec.list(in, ConversationCodec::set);
            return new ReplicaState(diskId, sets.stream().findFirst(), completeEpoch);
        });
    }
}
