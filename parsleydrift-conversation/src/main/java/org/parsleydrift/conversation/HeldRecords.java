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
final class HeldRecords {
    /** Factor on the requested retention, as a margin for clock skew between VMs. */
    private static final int KEEP_FACTOR = 3;

    private static final byte TURN = 1;
    /** A grant in the earlier on-disk format, which an upgraded VM must still read. */
    private static final byte GRANT_WITHOUT_PART = 2;

    private static final byte GRANT = 3;

    private final Map<String, Turn> turns = new HashMap<>();
    private final Map<String, Map<String, Grant>> ledgers = new HashMap<>();
    private final Deque<Expiry> expiries = new ArrayDeque<>();
    private final Map<String, Long> neededUntil = new HashMap<>();

    private record Expiry(String key, boolean turn, long atMillis) {}

    /** Adds a record read from disk, unless it has expired. */
    void replay(DurableLog.Entry entry, long nowMillis) {
        long until = entry.neededUntilMillis();
        if (until < nowMillis) {
            return;
        }
        MessagePackFrames.decode(entry.bytes(), in -> {
            byte type = in.unpackByte();
            switch (type) {
                case TURN -> keep(ConversationCodec.turn(in), until);
                case GRANT_WITHOUT_PART -> keep(ConversationCodec.grantWithoutPart(in), until);
                case GRANT -> keep(ConversationCodec.grant(in), until);
                default -> throw new IOException("unknown record type " + type);
            }
            return null;
        });
    }

    /** Adds records and returns the log entries to append for those that were new or changed. */
    List<DurableLog.Entry> keep(Collection<Grant> grants, Collection<Turn> turnsToKeep, long keepMillis, long now) {
        long until = now + KEEP_FACTOR * keepMillis;
        List<DurableLog.Entry> entries = new ArrayList<>();
        grants.stream().filter(grant -> keep(grant, until)).forEach(grant -> entries.add(entry(grant, until)));
        turnsToKeep.forEach(turn -> {
            if (keep(turn, until)) {
                entries.add(entry(turn, until));
            }
            prolong(turn.previous(), now + keepMillis, until, entries);
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
        while (!expiries.isEmpty() && expiries.peekFirst().atMillis() < nowMillis) {
            Expiry due = expiries.pollFirst();
            Long until = neededUntil.get(due.key());
            if (until != null && until < nowMillis) {
                neededUntil.remove(due.key());
                if (due.turn()) {
                    turns.remove(due.key());
                } else {
                    ledgers.remove(due.key());
                }
            }
        }
    }

    private boolean keep(Turn turn, long until) {
        note(turn.id(), true, until);
        return turns.putIfAbsent(turn.id(), turn) == null;
    }

    private boolean keep(Grant grant, long until) {
        note(grant.program(), false, until);
        Map<String, Grant> ledger = ledgers.computeIfAbsent(grant.program(), any -> new HashMap<>());
        Grant before = ledger.get(grant.request());
        // Comparing only the states keeps the replay of large logs fast.
        if (before != null && !grant.laterThan(before)) {
            return false;
        }
        ledger.put(grant.request(), grant);
        return true;
    }

    private void note(String key, boolean turn, long until) {
        neededUntil.merge(key, until, Math::max);
        expiries.addLast(new Expiry(key, turn, until));
    }

    /** Extends the expiry of the turns of a chain that would expire before its last turn, by appending them again. */
    private void prolong(String id, long leastUntil, long until, List<DurableLog.Entry> entries) {
        chain(id).stream()
                .filter(turn -> neededUntil.getOrDefault(turn.id(), 0L) < leastUntil)
                .forEach(turn -> {
                    note(turn.id(), true, until);
                    entries.add(entry(turn, until));
                });
    }

    private static DurableLog.Entry entry(Turn turn, long until) {
        return new DurableLog.Entry(
                MessagePackFrames.encode(out -> {
                    out.packByte(TURN);
                    ConversationCodec.turn(out, turn);
                }),
                until);
    }

    private static DurableLog.Entry entry(Grant grant, long until) {
        return new DurableLog.Entry(
                MessagePackFrames.encode(out -> {
                    out.packByte(GRANT);
                    ConversationCodec.grant(out, grant);
                }),
                until);
    }
}
