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

/** In-memory index of the turns and grants in the log of a store VM. Confined to one event loop. */
final class RecordIndex {
    /** Factor on the requested retention, as a margin for clock skew between VMs. */
    private static final int RETENTION_FACTOR = 3;

    private static final byte TURN = 1;
    /** A grant in the earlier on-disk format, which an upgraded VM must still read. */
    private static final byte GRANT_WITHOUT_PART = 2;

    private static final byte GRANT = 3;

    private final Map<String, Turn> turns = new HashMap<>();
    private final Map<String, Map<String, Grant>> ledgers = new HashMap<>();
    private final Deque<Expiry> expiryQueue = new ArrayDeque<>();
    private final Map<String, Long> expiryMillis = new HashMap<>();

    private record Expiry(String key, boolean isTurn, long atMillis) {}

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
                default -> throw new IOException("unknown record type " + type);
            }
            return null;
        });
    }

    /** Adds records and returns the log entries to append for those that were new or changed. */
    List<DurableLog.Entry> add(
            Collection<Grant> grants, Collection<Turn> newTurns, long retentionMillis, long nowMillis) {
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
                if (due.isTurn()) {
                    turns.remove(due.key());
                } else {
                    ledgers.remove(due.key());
                }
            }
        }
    }

    private boolean add(Turn turn, long expiresAtMillis) {
        recordExpiry(turn.id(), true, expiresAtMillis);
        return turns.putIfAbsent(turn.id(), turn) == null;
    }

    private boolean add(Grant grant, long expiresAtMillis) {
        recordExpiry(grant.program(), false, expiresAtMillis);
        Map<String, Grant> ledger = ledgers.computeIfAbsent(grant.program(), any -> new HashMap<>());
        Grant existing = ledger.get(grant.request());
        // Compares only the states, which is cheaper than equals() when a large log is replayed.
        if (existing != null && !grant.isLaterThan(existing)) {
            return false;
        }
        ledger.put(grant.request(), grant);
        return true;
    }

    private void recordExpiry(String key, boolean isTurn, long expiresAtMillis) {
        expiryMillis.merge(key, expiresAtMillis, Math::max);
        expiryQueue.addLast(new Expiry(key, isTurn, expiresAtMillis));
    }

    /** Extends the expiry of the turns of a chain that would expire before its last turn, by appending them again. */
    private void extendExpiry(
            String id, long minExpiresAtMillis, long expiresAtMillis, List<DurableLog.Entry> entries) {
        chain(id).stream()
                .filter(turn -> expiryMillis.getOrDefault(turn.id(), 0L) < minExpiresAtMillis)
                .forEach(turn -> {
                    recordExpiry(turn.id(), true, expiresAtMillis);
                    entries.add(entry(turn, expiresAtMillis));
                });
    }

    private static DurableLog.Entry entry(Turn turn, long expiresAtMillis) {
        return new DurableLog.Entry(
                MessagePackFrames.encode(out -> {
                    out.packByte(TURN);
                    ConversationCodec.turn(out, turn);
                }),
                expiresAtMillis);
    }

    private static DurableLog.Entry entry(Grant grant, long expiresAtMillis) {
        return new DurableLog.Entry(
                MessagePackFrames.encode(out -> {
                    out.packByte(GRANT);
                    ConversationCodec.grant(out, grant);
                }),
                expiresAtMillis);
    }
}
