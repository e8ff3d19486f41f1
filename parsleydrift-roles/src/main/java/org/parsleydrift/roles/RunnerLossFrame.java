package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.placement.WorkKey;

/** Frames about runners at which work was left unfinished. Nodes of earlier versions ignore them. */
sealed interface RunnerLossFrame {
    /** Type of {@link Report}. */
    byte REPORT = 24;
    /** Type of {@link Query}. */
    byte QUERY = 25;
    /** Type of {@link Answer}. */
    byte ANSWER = 26;
    /** Type of {@link Retraction}. */
    byte RETRACTION = 27;
    /** Type of a {@link Report} of runners whose connections were not lost. */
    byte UNFINISHED = 30;
    /** Maximum number of losses in a frame; more are malformed. */
    int MAX_LOSSES = 1024;

    /** Returns whether a frame has one of the types, which follow MessagePack's encoding of small integers. */
    static boolean isLossFrame(byte[] frame) {
        return frame.length > 0 && ((frame[0] >= REPORT && frame[0] <= RETRACTION) || frame[0] == UNFINISHED);
    }

    /** Reads a frame with one of the types; throws a {@link org.parsleydrift.kernel.StepException} if malformed. */
    static RunnerLossFrame decode(byte[] frame) {
        return MessagePackFrames.decode(frame, in -> {
            byte type = in.unpackByte();
            return switch (type) {
                case REPORT -> Report.read(in, true);
                case UNFINISHED -> Report.read(in, false);
                case QUERY -> new Query(in.unpackString());
                case ANSWER -> new Answer(losses(in));
                case RETRACTION -> new Retraction(Scope.of(in.unpackInt()), losses(in));
                default -> throw new IOException("unknown frame type " + type);
            };
        });
    }

    /** Returns the encoded frame. */
    default byte[] encode() {
        return MessagePackFrames.encode(this::write);
    }

    private static List<RunnerLoss> losses(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        if (count > MAX_LOSSES) {
            throw new IOException("more than " + MAX_LOSSES + " losses: " + count);
        }
        List<RunnerLoss> losses = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            losses.add(new RunnerLoss(new WorkKey(in.unpackLong(), in.unpackLong()), in.unpackLong()));
        }
        return losses;
    }

    private static void losses(MessagePacker out, List<RunnerLoss> losses) throws IOException {
        out.packArrayHeader(losses.size());
        for (RunnerLoss each : losses) {
            out.packLong(each.work().high()).packLong(each.work().low()).packLong(each.runner());
        }
    }

    /** Writes type and fields. */
    void write(MessagePacker out) throws IOException;

    /** Nodes that have yet to receive a report from its receiver. */
    enum Scope {
        /** The nodes of all zones, if the receiver is a hub. */
        ALL_ZONES(2),
        /** The nodes of the receiver's zone, if it is a hub. */
        OWN_ZONE(1),
        /** No other node. */
        RECEIVER(0);

        private final int code;

        Scope(int code) {
            this.code = code;
        }

        private static Scope of(int code) throws IOException {
            return Arrays.stream(values())
                    .filter(each -> each.code == code)
                    .findAny()
                    .orElseThrow(() -> new IOException("unknown scope " + code));
        }
    }

    /**
     * Losses that a node has seen.
     *
     * @param scope nodes to which the receiver forwards the report
     * @param connectionLost whether the connections to the runners were lost
     * @param losses the losses
     */
    record Report(Scope scope, boolean connectionLost, List<RunnerLoss> losses) implements RunnerLossFrame {
        /** Copies the list. */
        public Report {
            losses = List.copyOf(losses);
        }

        private static Report read(MessageUnpacker in, boolean connectionLost) throws IOException {
            return new Report(Scope.of(in.unpackInt()), connectionLost, RunnerLossFrame.losses(in));
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            RunnerLossFrame.losses(
                    out.packByte(connectionLost ? REPORT : UNFINISHED).packInt(scope.code), losses);
        }
    }

    /**
     * Request for the latest losses, of a node that has just started or that hears the receiver again.
     *
     * @param link link address of the node
     */
    record Query(String link) implements RunnerLossFrame {
        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(QUERY).packString(link);
        }
    }

    /**
     * Answer to a {@link Query}; unlike a report it shows that the receiver has heard of what was before.
     *
     * @param losses the latest losses
     */
    record Answer(List<RunnerLoss> losses) implements RunnerLossFrame {
        /** Copies the list. */
        public Answer {
            losses = List.copyOf(losses);
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            RunnerLossFrame.losses(out.packByte(ANSWER), losses);
        }
    }

    /**
     * Losses that no longer count.
     *
     * @param scope nodes to which the receiver forwards the frame
     * @param losses the losses
     */
    record Retraction(Scope scope, List<RunnerLoss> losses) implements RunnerLossFrame {
        /** Copies the list. */
        public Retraction {
            losses = List.copyOf(losses);
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            RunnerLossFrame.losses(out.packByte(RETRACTION).packInt(scope.code), losses);
        }
    }
}
