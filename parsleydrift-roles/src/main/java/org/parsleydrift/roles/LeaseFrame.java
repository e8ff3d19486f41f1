package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/** Frames about slot leases. Nodes of earlier versions ignore them. */
sealed interface LeaseFrame {
    /** Type of {@link Acquire}. */
    byte ACQUIRE = 20;
    /** Type of {@link Reply}. */
    byte REPLY = 21;
    /** Type of {@link Release}. */
    byte RELEASE = 22;
    /** Maximum number of releases in a frame; more are malformed. */
    int MAX_RELEASES = 4096;

    /** Returns whether a frame has one of the types, which follow MessagePack's encoding of small integers. */
    static boolean isLeaseFrame(byte[] frame) {
        return frame.length > 0 && frame[0] >= ACQUIRE && frame[0] <= RELEASE;
    }

    /** Reads a frame with one of the types; throws a {@link org.parsleydrift.kernel.StepException} if malformed. */
    static LeaseFrame decode(byte[] frame) {
        return MessagePackFrames.decode(frame, in -> switch (in.unpackByte()) {
            case ACQUIRE -> Acquire.read(in);
            case REPLY -> Reply.read(in);
            default -> Release.read(in);
        });
    }

    /** Returns the encoded frame. */
    default byte[] encode() {
        return MessagePackFrames.encode(this::write);
    }

    /** Writes type and fields. */
    void write(MessagePacker out) throws IOException;

    /**
     * Request for a lease.
     *
     * @param node name of the requesting node
     * @param link its link address, to which the reply is sent; a node may be unknown to the coordinator
     * @param processStart random start value of its process
     * @param number number of the request
     * @param runner {@link org.parsleydrift.registry.RunnerKey} of the runner's incarnation
     * @param rank rank of the request that needs the slot; 0 is the best
     * @param millis lease time, ms
     */
    record Acquire(String node, String link, long processStart, long number, long runner, int rank, long millis)
            implements LeaseFrame {
        private static Acquire read(MessageUnpacker in) throws IOException {
            Acquire read = new Acquire(
                    in.unpackString(),
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackInt(),
                    in.unpackLong());
            if (read.rank < 0 || read.millis < 0) {
                throw new IOException("rank " + read.rank + " or lease time " + read.millis + " ms is negative");
            }
            return read;
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(ACQUIRE).packString(node).packString(link);
            out.packLong(processStart)
                    .packLong(number)
                    .packLong(runner)
                    .packInt(rank)
                    .packLong(millis);
        }
    }

    /**
     * Answer to {@link Acquire}.
     *
     * @param processStart start value of the request
     * @param number number of the request
     * @param granted whether the lease was granted
     * @param leases leases at the runner
     */
    record Reply(long processStart, long number, boolean granted, int leases) implements LeaseFrame {
        private static Reply read(MessageUnpacker in) throws IOException {
            Reply read = new Reply(in.unpackLong(), in.unpackLong(), in.unpackBoolean(), in.unpackInt());
            if (read.leases < 0) {
                throw new IOException("number of leases " + read.leases + " is negative");
            }
            return read;
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(REPLY).packLong(processStart).packLong(number);
            out.packBoolean(granted).packInt(leases);
        }
    }

    /**
     * Releases of leases.
     *
     * @param node name of the node that held them
     * @param processStart start value of its process
     * @param numbers numbers of the requests
     */
    record Release(String node, long processStart, List<Long> numbers) implements LeaseFrame {
        /** Copies the list. */
        public Release {
            numbers = List.copyOf(numbers);
        }

        private static Release read(MessageUnpacker in) throws IOException {
            String node = in.unpackString();
            long processStart = in.unpackLong();
            int count = in.unpackArrayHeader();
            if (count > MAX_RELEASES) {
                throw new IOException("more than " + MAX_RELEASES + " releases: " + count);
            }
            List<Long> numbers = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                numbers.add(in.unpackLong());
            }
            return new Release(node, processStart, numbers);
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(RELEASE).packString(node).packLong(processStart).packArrayHeader(numbers.size());
            for (long each : numbers) {
                out.packLong(each);
            }
        }
    }
}
