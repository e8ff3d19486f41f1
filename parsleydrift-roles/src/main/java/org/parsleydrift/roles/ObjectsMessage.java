package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObject;

/**
 * Message with shared objects of one kind: either all that are present, or the latest changes.
 *
 * @param kind kind of the objects
 * @param changes the objects, with the revision up to which the sender's copy is complete
 * @param latestRevision revision of the sender's latest known change
 * @param stalenessMillis staleness of the sender's copy, ms
 */
record ObjectsMessage(ObjectKind kind, ObjectChanges changes, long latestRevision, long stalenessMillis) {
    void write(MessagePacker out) throws IOException {
        out.packString(kind.name())
                .packLong(changes.asOf())
                .packLong(latestRevision)
                .packLong(stalenessMillis);
        out.packArrayHeader(changes.objects().size());
        for (SharedObject each : changes.objects()) {
            out.packString(each.name()).packLong(each.revision()).packBoolean(each.deleted());
            out.packBinaryHeader(each.content().length).addPayload(each.content());
        }
    }

    static ObjectsMessage read(MessageUnpacker in) throws IOException {
        ObjectKind kind = ObjectKind.valueOf(in.unpackString());
        long asOf = in.unpackLong();
        long latestRevision = in.unpackLong();
        long stalenessMillis = in.unpackLong();
        int size = in.unpackArrayHeader();
        List<SharedObject> objects = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            objects.add(new SharedObject(
                    in.unpackString(), in.unpackLong(), in.unpackBoolean(), in.readPayload(in.unpackBinaryHeader())));
        }
        return new ObjectsMessage(kind, new ObjectChanges(objects, asOf), latestRevision, stalenessMillis);
    }
}
