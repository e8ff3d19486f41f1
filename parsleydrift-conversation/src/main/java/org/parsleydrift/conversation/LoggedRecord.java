package org.parsleydrift.conversation;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * A record as it stands in the log of a store VM. Types of earlier versions are read but not written; their turns and
 * origins do not name a program.
 */
sealed interface LoggedRecord {
    /** Type of a turn without a program, of an earlier version. */
    byte TURN_WITHOUT_PROGRAM = 1;
    /** Type of a grant without a prompt part, of an earlier version. */
    byte GRANT_WITHOUT_PART = 2;
    /** Type of {@link OfGrant}. */
    byte GRANT = 3;
    /** Type of an origin without a program, of an earlier version. */
    byte ORIGIN_WITHOUT_PROGRAM = 4;
    /** Type of {@link OfTurn}. */
    byte TURN = 5;
    /** Type of {@link OfOrigin}. */
    byte ORIGIN = 6;
    /** Type of {@link OfChain}. */
    byte CHAIN = 7;
    /** Type of {@link OfHeldTurn}. */
    byte HELD_TURN = 8;

    /** A grant, which names its program. */
    record OfGrant(Grant grant) implements LoggedRecord {
        @Override
        public void write(MessagePacker out) throws IOException {
            ConversationCodec.grant(out.packByte(GRANT), grant);
        }
    }

    /** A turn of a program; the name is empty in an entry of an earlier version. */
    record OfTurn(String program, Turn turn) implements LoggedRecord {
        @Override
        public void write(MessagePacker out) throws IOException {
            ConversationCodec.turn(out.packByte(TURN).packString(program), turn);
        }
    }

    /** A turn that is kept for the programs that have inherited it. */
    record OfHeldTurn(Turn turn) implements LoggedRecord {
        @Override
        public void write(MessagePacker out) throws IOException {
            ConversationCodec.turn(out.packByte(HELD_TURN), turn);
        }
    }

    /** An origin of a stream of a program; the name is empty in an entry of an earlier version. */
    record OfOrigin(String program, StreamOrigin origin) implements LoggedRecord {
        @Override
        public void write(MessagePacker out) throws IOException {
            ConversationCodec.origin(out.packByte(ORIGIN).packString(program), origin);
        }
    }

    /** A chain that a program has inherited. */
    record OfChain(String program, InheritedChain chain) implements LoggedRecord {
        @Override
        public void write(MessagePacker out) throws IOException {
            ConversationCodec.chain(out.packByte(CHAIN).packString(program), chain);
        }
    }

    /** Writes type and fields. */
    void write(MessagePacker out) throws IOException;

    /** Returns the log entry of the record. */
    default DurableLog.Entry entry(long expiresAtMillis) {
        return new DurableLog.Entry(MessagePackFrames.encode(this::write), expiresAtMillis);
    }

    /** Reads the record of an entry. */
    static LoggedRecord of(DurableLog.Entry entry) {
        return MessagePackFrames.decode(entry.bytes(), in -> {
            byte type = in.unpackByte();
            return switch (type) {
                case TURN_WITHOUT_PROGRAM -> new OfTurn("", ConversationCodec.turn(in));
                case GRANT_WITHOUT_PART -> new OfGrant(ConversationCodec.grantWithoutPart(in));
                case GRANT -> new OfGrant(ConversationCodec.grant(in));
                case ORIGIN_WITHOUT_PROGRAM -> new OfOrigin("", ConversationCodec.origin(in));
                case TURN -> new OfTurn(in.unpackString(), ConversationCodec.turn(in));
                case ORIGIN -> new OfOrigin(in.unpackString(), ConversationCodec.origin(in));
                case CHAIN -> new OfChain(in.unpackString(), ConversationCodec.chain(in));
                case HELD_TURN -> new OfHeldTurn(ConversationCodec.turn(in));
                default -> throw new IOException("unknown record type " + type);
            };
        });
    }

    /** Returns the program whose life the record of an entry shares, without reading the rest; empty if none is named. */
    static Optional<String> programOf(DurableLog.Entry entry) {
        return MessagePackFrames.decode(entry.bytes(), in -> switch (in.unpackByte()) {
            case GRANT, GRANT_WITHOUT_PART, TURN, ORIGIN, CHAIN -> Optional.of(in.unpackString());
            default -> Optional.empty();
        });
    }

    /** Returns whether the record of an entry is a chain. */
    static boolean isChain(DurableLog.Entry entry) {
        return MessagePackFrames.decode(entry.bytes(), in -> in.unpackByte() == CHAIN);
    }
}
