package org.parsleydrift.conversation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * MessagePack encoding of requests, replies and records. Hand-written to avoid the startup cost of reflection. The last
 * fields of {@code Write}, {@code Read}, {@code Fetch}, {@code ListRecords}, {@code Found} and {@code RecordList} are optional, since processes of an earlier
 * version neither send nor read them.
 */
final class ConversationCodec {
    private ConversationCodec() {}

    static void request(MessagePacker out, ReplicaRequest request) throws IOException {
        switch (request) {
            case ReplicaRequest.Write write -> {
                out.packByte((byte) 1).packLong(write.epoch()).packLong(write.retentionMillis());
                list(out, write.grants(), ConversationCodec::grant);
                list(out, write.turn().stream().toList(), ConversationCodec::turn);
                list(out, write.origin().stream().toList(), ConversationCodec::origin);
                list(out, write.lineage().stream().toList(), ConversationCodec::lineage);
            }
            case ReplicaRequest.Read read -> {
                out.packByte((byte) 2)
                        .packLong(read.epoch())
                        .packString(read.program())
                        .packString(read.lastTurn())
                        .packBoolean(read.includesTexts());
                list(out, read.streams(), MessagePacker::packString);
                out.packInt(read.pageBytes());
            }
            case ReplicaRequest.Fetch fetch -> {
                out.packByte((byte) 3);
                list(out, fetch.turnIds(), MessagePacker::packString);
                out.packInt(fetch.pageBytes());
            }
            case ReplicaRequest.ListRecords listRecords -> {
                out.packByte((byte) 4);
                set(out, listRecords.set());
                list(out, listRecords.after().stream().toList(), MessagePacker::packString);
                out.packInt(listRecords.pageBytes());
            }
            case ReplicaRequest.Heartbeat heartbeat -> {
                out.packByte((byte) 5);
                list(out, heartbeat.set().stream().toList(), ConversationCodec::set);
            }
        }
    }

    static ReplicaRequest request(MessageUnpacker in) throws IOException {
        byte type = in.unpackByte();
        return switch (type) {
            case 1 ->
                new ReplicaRequest.Write(
                        in.unpackLong(),
                        in.unpackLong(),
                        list(in, ConversationCodec::grant),
                        first(list(in, ConversationCodec::turn)),
                        first(optionalList(in, ConversationCodec::origin)),
                        first(optionalList(in, ConversationCodec::lineage)));
            case 2 ->
                new ReplicaRequest.Read(
                        in.unpackLong(),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackBoolean(),
                        optionalList(in, MessageUnpacker::unpackString),
                        pageBytes(in, ReplicaRequest.LARGE_PAGE_BYTES));
            case 3 ->
                new ReplicaRequest.Fetch(
                        list(in, MessageUnpacker::unpackString),
                        pageBytes(in, ReplicaRequest.FORMER_FETCH_PAGE_BYTES),
                        0);
            case 4 ->
                new ReplicaRequest.ListRecords(
                        set(in),
                        first(optionalList(in, MessageUnpacker::unpackString)),
                        pageBytes(in, ReplicaRequest.ListRecords.ONE_PAGE_BYTES));
            case 5 -> new ReplicaRequest.Heartbeat(first(list(in, ConversationCodec::set)));
            default -> throw new IOException("unknown request type " + type);
        };
    }

    static void reply(MessagePacker out, ReplicaReply reply) throws IOException {
        switch (reply) {
            case ReplicaReply.Written ignored -> out.packByte((byte) 1);
            case ReplicaReply.Found found -> {
                out.packByte((byte) 2);
                list(out, found.grants(), ConversationCodec::grant);
                list(out, found.turns(), ConversationCodec::turn);
                list(out, found.turnIds(), MessagePacker::packString);
                list(out, found.origins(), ConversationCodec::origin);
                list(out, found.turnPrograms(), MessagePacker::packString);
                list(out, found.turnBytes(), MessagePacker::packInt);
            }
            case ReplicaReply.Stale stale -> {
                out.packByte((byte) 3);
                set(out, stale.set());
            }
            case ReplicaReply.Behind ignored -> out.packByte((byte) 4);
            case ReplicaReply.Incomplete ignored -> out.packByte((byte) 5);
            case ReplicaReply.RecordList recordList -> {
                out.packByte((byte) 6);
                list(out, recordList.turnIds(), MessagePacker::packString);
                list(out, recordList.grants(), ConversationCodec::grant);
                list(out, recordList.origins(), ConversationCodec::origin);
                list(out, recordList.originPrograms(), MessagePacker::packString);
                list(out, List.copyOf(recordList.lives().entrySet()), ConversationCodec::life);
                list(out, recordList.chains(), ConversationCodec::chain);
                list(out, List.copyOf(recordList.heirs().entrySet()), ConversationCodec::heir);
                list(out, recordList.lastProgram().stream().toList(), MessagePacker::packString);
            }
            case ReplicaReply.Full ignored -> out.packByte((byte) 8);
            case ReplicaReply.Progress progress ->
                out.packByte((byte) 7)
                        .packString(progress.name())
                        .packString(progress.diskId())
                        .packLong(progress.adoptedEpoch())
                        .packLong(progress.completeEpoch());
        }
    }

    static ReplicaReply reply(MessageUnpacker in) throws IOException {
        byte type = in.unpackByte();
        return switch (type) {
            case 1 -> new ReplicaReply.Written();
            case 2 ->
                new ReplicaReply.Found(
                        list(in, ConversationCodec::grant),
                        list(in, ConversationCodec::turn),
                        list(in, MessageUnpacker::unpackString),
                        optionalList(in, ConversationCodec::origin),
                        optionalList(in, MessageUnpacker::unpackString),
                        optionalList(in, MessageUnpacker::unpackInt));
            case 3 -> new ReplicaReply.Stale(set(in));
            case 4 -> new ReplicaReply.Behind();
            case 5 -> new ReplicaReply.Incomplete();
            case 6 ->
                new ReplicaReply.RecordList(
                        list(in, MessageUnpacker::unpackString),
                        list(in, ConversationCodec::grant),
                        optionalList(in, ConversationCodec::origin),
                        optionalList(in, MessageUnpacker::unpackString),
                        optionalMap(in, ConversationCodec::life),
                        optionalList(in, ConversationCodec::chain),
                        optionalMap(in, ConversationCodec::heir),
                        first(optionalList(in, MessageUnpacker::unpackString)));
            case 7 -> new ReplicaReply.Progress(in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackLong());
            case 8 -> new ReplicaReply.Full();
            default -> throw new IOException("unknown reply type " + type);
        };
    }

    static void turn(MessagePacker out, Turn turn) throws IOException {
        out.packString(turn.id()).packString(turn.previous());
        out.packBinaryHeader(turn.input().length).addPayload(turn.input());
        out.packBinaryHeader(turn.output().length).addPayload(turn.output());
    }

    static Turn turn(MessageUnpacker in) throws IOException {
        return new Turn(in.unpackString(), in.unpackString(), bytes(in), bytes(in));
    }

    static void grant(MessagePacker out, Grant grant) throws IOException {
        out.packString(grant.program())
                .packString(grant.request())
                .packByte(grant.state().code())
                .packInt(grant.tokens())
                .packString(grant.runner())
                .packString(grant.promptPart())
                .packInt(grant.cachedTokens());
    }

    static Grant grant(MessageUnpacker in) throws IOException {
        Grant plain = grantWithoutPart(in);
        return new Grant(
                plain.program(),
                plain.request(),
                plain.state(),
                plain.tokens(),
                plain.runner(),
                in.unpackString(),
                in.unpackInt());
    }

    /** Reads a grant in the earlier on-disk format, which has no prompt part. */
    static Grant grantWithoutPart(MessageUnpacker in) throws IOException {
        return new Grant(
                in.unpackString(),
                in.unpackString(),
                GrantState.of(in.unpackByte()),
                in.unpackInt(),
                in.unpackString());
    }

    static void origin(MessagePacker out, StreamOrigin origin) throws IOException {
        out.packString(origin.stream()).packString(origin.service()).packString(origin.softwareVersion());
    }

    static StreamOrigin origin(MessageUnpacker in) throws IOException {
        return new StreamOrigin(in.unpackString(), in.unpackString(), in.unpackString());
    }

    private static void life(MessagePacker out, Map.Entry<String, Long> life) throws IOException {
        out.packString(life.getKey()).packLong(life.getValue());
    }

    private static Map.Entry<String, Long> life(MessageUnpacker in) throws IOException {
        return Map.entry(in.unpackString(), in.unpackLong());
    }

    static void chain(MessagePacker out, InheritedChain chain) throws IOException {
        out.packString(chain.lastTurn());
        list(out, chain.turnIds(), MessagePacker::packString);
    }

    static InheritedChain chain(MessageUnpacker in) throws IOException {
        return new InheritedChain(in.unpackString(), list(in, MessageUnpacker::unpackString));
    }

    private static void heir(MessagePacker out, Map.Entry<String, List<String>> heir) throws IOException {
        out.packString(heir.getKey());
        list(out, heir.getValue(), MessagePacker::packString);
    }

    private static Map.Entry<String, List<String>> heir(MessageUnpacker in) throws IOException {
        return Map.entry(in.unpackString(), list(in, MessageUnpacker::unpackString));
    }

    private static void lineage(MessagePacker out, TurnLineage lineage) throws IOException {
        out.packString(lineage.program());
        list(out, lineage.inherited().stream().toList(), ConversationCodec::chain);
    }

    private static TurnLineage lineage(MessageUnpacker in) throws IOException {
        return new TurnLineage(in.unpackString(), first(list(in, ConversationCodec::chain)));
    }

    static void set(MessagePacker out, StoreSet set) throws IOException {
        out.packLong(set.epoch());
        list(out, set.members(), ConversationCodec::member);
        list(out, set.previous(), ConversationCodec::member);
    }

    static StoreSet set(MessageUnpacker in) throws IOException {
        return new StoreSet(in.unpackLong(), list(in, ConversationCodec::member), list(in, ConversationCodec::member));
    }

    private static void member(MessagePacker out, StoreMember member) throws IOException {
        out.packString(member.name()).packString(member.diskId()).packString(member.address());
    }

    private static StoreMember member(MessageUnpacker in) throws IOException {
        return new StoreMember(in.unpackString(), in.unpackString(), in.unpackString());
    }

    /** Writes one element of a list. */
    interface EntryWriter<T> {
        void write(MessagePacker out, T value) throws IOException;
    }

    static <T> void list(MessagePacker out, List<T> values, EntryWriter<T> writer) throws IOException {
        out.packArrayHeader(values.size());
        for (T each : values) {
            writer.write(out, each);
        }
    }

    static <T> List<T> list(MessageUnpacker in, MessagePackFrames.Reader<T> reader) throws IOException {
        int size = in.unpackArrayHeader();
        List<T> values = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            values.add(reader.read(in));
        }
        return values;
    }

    /** Reads a list at the end of a frame, which processes of an earlier version omit. */
    private static <T> List<T> optionalList(MessageUnpacker in, MessagePackFrames.Reader<T> reader) throws IOException {
        return in.hasNext() ? list(in, reader) : List.of();
    }

    private static <T> Map<String, T> optionalMap(
            MessageUnpacker in, MessagePackFrames.Reader<Map.Entry<String, T>> reader) throws IOException {
        return optionalList(in, reader).stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Reads the size of a page, which processes of an earlier version omit. */
    private static int pageBytes(MessageUnpacker in, int former) throws IOException {
        return in.hasNext() ? in.unpackInt() : former;
    }

    private static <T> Optional<T> first(List<T> values) {
        return values.stream().findFirst();
    }

    private static byte[] bytes(MessageUnpacker in) throws IOException {
        return in.readPayload(in.unpackBinaryHeader());
    }
}
