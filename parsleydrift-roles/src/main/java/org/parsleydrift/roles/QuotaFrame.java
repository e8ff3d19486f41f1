package org.parsleydrift.roles;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.placement.QuotaRequest;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Team;

/** Frames about the quotas of teams. Nodes of earlier versions ignore them. */
sealed interface QuotaFrame {
    /** Type of {@link Acquire}. */
    byte ACQUIRE = 31;
    /** Type of {@link Reply}. */
    byte REPLY = 32;
    /** Type of {@link Refund}. */
    byte REFUND = 33;
    /** Type of {@link Charge}. */
    byte CHARGE = 34;
    /** Type of {@link Sent}. */
    byte SENT = 35;

    /** Returns whether a frame has one of the types, which follow MessagePack's encoding of small integers. */
    static boolean isQuotaFrame(byte[] frame) {
        return frame.length > 0 && frame[0] >= ACQUIRE && frame[0] <= SENT;
    }

    /** Reads a frame with one of the types; throws a {@link org.parsleydrift.kernel.StepException} if malformed. */
    static QuotaFrame decode(byte[] frame) {
        return MessagePackFrames.decode(frame, in -> switch (in.unpackByte()) {
            case ACQUIRE -> Acquire.read(in);
            case REPLY -> Reply.read(in);
            case REFUND -> new Refund(ChargeId.read(in));
            case CHARGE -> new Charge(readTeam(in));
            default -> new Sent(ChargeId.read(in));
        });
    }

    /** Returns the encoded frame. */
    default byte[] encode() {
        return MessagePackFrames.encode(this::write);
    }

    /** Writes type and fields. */
    void write(MessagePacker out) throws IOException;

    /**
     * Identifies a request for a charge.
     *
     * @param node name of the requesting node
     * @param processStart random start value of its process
     * @param number number of the request
     */
    record ChargeId(String node, long processStart, long number) {
        private static ChargeId read(MessageUnpacker in) throws IOException {
            return new ChargeId(in.unpackString(), in.unpackLong(), in.unpackLong());
        }

        private void write(MessagePacker out) throws IOException {
            out.packString(node).packLong(processStart).packLong(number);
        }
    }

    /** How a coordinator has decided. */
    enum Outcome {
        GRANTED,
        EXCEEDED,
        /** Other nodes may know more of the team's usage. */
        DECLINED
    }

    /**
     * Request for a charge to a team's quota.
     *
     * @param id identifies the request
     * @param link link address of the requesting node, to which the reply is sent; the node may be unknown to the receiver
     * @param team name and quota of the team, by the manifest of the requesting node
     * @param request what the decision depends on
     * @param precedingDeclined whether all candidates before the receiver have declined
     * @param forced whether to decide even if other nodes may know more
     */
    record Acquire(ChargeId id, String link, Team team, QuotaRequest request, boolean precedingDeclined, boolean forced)
            implements QuotaFrame {
        private static Acquire read(MessageUnpacker in) throws IOException {
            return new Acquire(
                    ChargeId.read(in),
                    in.unpackString(),
                    readTeam(in),
                    new QuotaRequest(in.unpackBoolean(), in.unpackBoolean()),
                    in.unpackBoolean(),
                    in.unpackBoolean());
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(ACQUIRE);
            id.write(out);
            out.packString(link);
            writeTeam(out, team);
            out.packBoolean(request.inProgress()).packBoolean(request.inProgram());
            out.packBoolean(precedingDeclined).packBoolean(forced);
        }
    }

    /**
     * Answer to {@link Acquire}.
     *
     * @param processStart start value of the request
     * @param number number of the request
     * @param outcome the decision
     * @param retryAfter time after which the caller of a rejected request may return; whole ms
     */
    record Reply(long processStart, long number, Outcome outcome, Duration retryAfter) implements QuotaFrame {
        private static final Map<String, Outcome> OUTCOMES =
                Stream.of(Outcome.values()).collect(Collectors.toMap(Outcome::name, each -> each));

        private static Reply read(MessageUnpacker in) throws IOException {
            long processStart = in.unpackLong();
            long number = in.unpackLong();
            String outcome = in.unpackString();
            long millis = in.unpackLong();
            if (!OUTCOMES.containsKey(outcome) || millis < 0) {
                throw new IOException(
                        "outcome " + outcome + " is unknown or retry delay " + millis + " ms is negative");
            }
            return new Reply(processStart, number, OUTCOMES.get(outcome), Duration.ofMillis(millis));
        }

        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(REPLY).packLong(processStart).packLong(number);
            out.packString(outcome.name()).packLong(retryAfter.toMillis());
        }
    }

    /**
     * Reverts a charge, or a request for one that was answered too late.
     *
     * @param id identifies the request
     */
    record Refund(ChargeId id) implements QuotaFrame {
        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(REFUND);
            id.write(out);
        }
    }

    /**
     * Charges a request that may run in any case.
     *
     * @param team name and quota of its team
     */
    record Charge(Team team) implements QuotaFrame {
        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(CHARGE);
            writeTeam(out, team);
        }
    }

    /**
     * Tells that a request, which has waited since it was admitted, is being sent to a runner.
     *
     * @param id identifies the request for its charge
     */
    record Sent(ChargeId id) implements QuotaFrame {
        @Override
        public void write(MessagePacker out) throws IOException {
            out.packByte(SENT);
            id.write(out);
        }
    }

    private static void writeTeam(MessagePacker out, Team team) throws IOException {
        out.packString(team.name());
        out.packDouble(team.quota().ratePerSecond()).packDouble(team.quota().burst());
    }

    private static Team readTeam(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        Quota quota = new Quota(in.unpackDouble(), in.unpackDouble());
        if (!(quota.ratePerSecond() >= 0) || !(quota.burst() >= 0)) {
            throw new IOException("quota of team " + name + " is negative: " + quota);
        }
        return new Team(name, OptionalInt.empty(), quota);
    }
}
