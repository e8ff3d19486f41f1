package org.parsleydrift.conversation;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/** In-memory index of the turns, grants and origins of streams in the log of a store VM. Confined to one event loop. */
final class RecordIndex {
    /** Factor on the requested retention, as a margin for clock skew between VMs. */
    private static final int RETENTION_FACTOR = 3;

    private static final byte TURN = 1;
    /** A grant in the earlier on-disk format, which an upgraded VM must still read. */
    private static final byte GRANT_WITHOUT_PART = 2;

    private static final byte GRANT = 3;
    private static final byte STREAM_ORIGIN = 4;

    private final Map<String, Turn> turns = new HashMap<>();
    private final Map<String, Map<String, Grant>> ledgers = new HashMap<>();
    private final Map<String, StreamOrigin> origins = new HashMap<>();
    private final Deque<Expiry> expiryQueue = new ArrayDeque<>();
    private final Map<Key, Long> expiryMillis = new HashMap<>();

    private enum Kind {
        TURN,
        LEDGER,
        ORIGIN
    }

    private record Key(Kind kind, String id) {}

    private record Expiry(Key key, long atMillis) {}

    /** Adds a record read from disk, unless it has expired. */
    void replay(DurableLog.Entry entry, long nowMillis) {
        long expiresAtMillis = entry.expiresAtMillis();
        if (expiresAtMillis < nowMillis) {
            return;
        }
        MessagePackFrames.decode(entry.bytes(), in -> {
            byte type = in.unpackByte();
            switch (type) {
                case TURN -> add(ConversationCodec.turn(in), expiresAtMillis);
                case GRANT_WITHOUT_PART -> add(ConversationCodec.grantWithoutPart(in), expiresAtMillis);
                case GRANT -> add(ConversationCodec.grant(in), expiresAtMillis);
                case STREAM_ORIGIN -> add(ConversationCodec.origin(in), expiresAtMillis);
                default -> throw new IOException("unknown record type " + type);
            }
            return null;
        });
    }

    /** Adds records and returns the log entries to append for those that were new or changed. */
    List<DurableLog.Entry> add(
            Collection<Grant> grants,
            Collection<Turn> newTurns,
            Collection<StreamOrigin> newOrigins,
            long retentionMillis,
            long nowMillis) {
        long expiresAtMillis = nowMillis + RETENTION_FACTOR * retentionMillis;
        List<DurableLog.Entry> entries = new ArrayList<>();
        grants.stream()
                .filter(grant -> add(grant, expiresAtMillis))
                .forEach(grant -> entries.add(entry(grant, expiresAtMillis)));
        newTurns.forEach(turn -> {
            if (add(turn, expiresAtMillis)) {
                entries.add(entry(turn, expiresAtMillis));
            }
            extendExpiry(turn.previous(), nowMillis + retentionMillis, expiresAtMillis, entries);
        });
        newOrigins.stream()
                .filter(origin -> add(origin, expiresAtMillis))
                .forEach(origin -> entries.add(entry(origin, expiresAtMillis)));
        return entries;
    }

    List<Grant> ledger(String program) {
        return List.copyOf(ledgers.getOrDefault(program, Map.of()).values());
    }

    /** Returns the chain that ends with the given turn, newest first, up to the first missing turn. */
    List<Turn> chain(String lastTurn) {
        List<Turn> chain = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        Turn turn = turns.get(lastTurn);
        while (turn != null && seen.add(turn.id())) {
            chain.add(turn);
            turn = turns.get(turn.previous());
        }
        return chain;
    }

    List<String> turnIds() {
        return List.copyOf(turns.keySet());
    }

    List<Grant> grants() {
        return ledgers.values().stream()
                .flatMap(ledger -> ledger.values().stream())
                .toList();
    }

    List<StreamOrigin> origins() {
        return List.copyOf(origins.values());
    }

    Optional<StreamOrigin> origin(String stream) {
        return Optional.ofNullable(origins.get(stream));
    }

    Optional<Turn> turn(String id) {
        return Optional.ofNullable(turns.get(id));
    }

    int size() {
        return turns.size();
    }

    /** Removes expired records. */
    void expire(long nowMillis) {
        while (!expiryQueue.isEmpty() && expiryQueue.peekFirst().atMillis() < nowMillis) {
            Expiry due = expiryQueue.pollFirst();
            Long expiresAtMillis = expiryMillis.get(due.key());
            if (expiresAtMillis != null && expiresAtMillis < nowMillis) {
                expiryMillis.remove(due.key());
                String id = due.key().id();
                switch (due.key().kind()) {
                    case TURN -> turns.remove(id);
                    case LEDGER -> ledgers.remove(id);
                    case ORIGIN -> origins.remove(id);
                }
            }
        }
    }

    private boolean add(Turn turn, long expiresAtMillis) {
        recordExpiry(new Key(Kind.TURN, turn.id()), expiresAtMillis);
        return turns.putIfAbsent(turn.id(), turn) == null;
    }

    private boolean add(Grant grant, long expiresAtMillis) {
        recordExpiry(new Key(Kind.LEDGER, grant.program()), expiresAtMillis);
        Map<String, Grant> ledger = ledgers.computeIfAbsent(grant.program(), any -> new HashMap<>());
        Grant existing = ledger.get(grant.request());
        // Compares only the states, which is cheaper than equals() when a large log is replayed.
        if (existing != null && !grant.isLaterThan(existing)) {
            return false;
        }
        ledger.put(grant.request(), grant);
        return true;
    }

    private boolean add(StreamOrigin origin, long expiresAtMillis) {
        recordExpiry(new Key(Kind.ORIGIN, origin.stream()), expiresAtMillis);
        return origins.putIfAbsent(origin.stream(), origin) == null;
    }

    private void recordExpiry(Key key, long expiresAtMillis) {
        expiryMillis.merge(key, expiresAtMillis, Math::max);
        expiryQueue.addLast(new Expiry(key, expiresAtMillis));
    }

    /** Extends the expiry of the turns of a chain that would expire before its last turn, by appending them again. */
    private void extendExpiry(
            String id, long minExpiresAtMillis, long expiresAtMillis, List<DurableLog.Entry> entries) {
        chain(id).stream()
                .filter(turn -> expiryMillis.getOrDefault(new Key(Kind.TURN, turn.id()), 0L) < minExpiresAtMillis)
                .forEach(turn -> {
                    recordExpiry(new Key(Kind.TURN, turn.id()), expiresAtMillis);
                    entries.add(entry(turn, expiresAtMillis));
                });
    }

    private static DurableLog.Entry entry(Turn turn, long expiresAtMillis) {
        return entry(TURN, out -> ConversationCodec.turn(out, turn), expiresAtMillis);
    }

    private static DurableLog.Entry entry(Grant grant, long expiresAtMillis) {
        return entry(GRANT, out -> ConversationCodec.grant(out, grant), expiresAtMillis);
    }

    private static DurableLog.Entry entry(StreamOrigin origin, long expiresAtMillis) {
        return entry(STREAM_ORIGIN, out -> ConversationCodec.origin(out, origin), expiresAtMillis);
    }

    private static DurableLog.Entry entry(byte type, MessagePackFrames.Writer record, long expiresAtMillis) {
        return new DurableLog.Entry(
                MessagePackFrames.encode(out -> {
                    out.packByte(type);
                    record.write(out);
                }),
                expiresAtMillis);
    }
}
