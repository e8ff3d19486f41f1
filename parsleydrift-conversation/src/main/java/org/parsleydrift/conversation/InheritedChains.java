package org.parsleydrift.conversation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * The chains that living programs have inherited from others. A turn in one of them is held: it is kept when the program
 * that wrote it has expired, and logged again before the log could delete it. Programs that continue the same turn share
 * one entry, so that neither the memory nor the work of a write grows with their number.
 */
final class InheritedChains {
    /** Logs a turn again well before it is due, so that the turns of a chain are not looked at with each write. */
    private static final long LOG_AHEAD_MILLIS = DurableLog.DELETION_DELAY.toMillis() / 2;
    /** Memory of the ID of a turn in a chain, bytes. */
    private static final int TURN_ID_BYTES = 120;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, HeldTurn> held = new HashMap<>();
    private long bytes;

    private static final class Entry {
        private final InheritedChain chain;
        private int heirs;
        private long neededUntilMillis = Long.MIN_VALUE;
        /** Earliest expiry with which a turn of the chain was last logged. */
        private long loggedUntilMillis = Long.MIN_VALUE;

        private Entry(InheritedChain chain) {
            this.chain = chain;
        }
    }

    private static final class HeldTurn {
        private int chains;
        private long loggedExpiryMillis = Long.MIN_VALUE;
    }

    /** Adds a program that has inherited a chain, and which has not been added for it before. */
    void addHeir(InheritedChain chain) {
        Entry entry = entries.get(chain.lastTurn());
        if (entry == null) {
            entry = new Entry(chain);
            entries.put(chain.lastTurn(), entry);
            chain.turnIds().forEach(id -> held.computeIfAbsent(id, any -> new HeldTurn()).chains++);
            bytes += (long) TURN_ID_BYTES * chain.turnIds().size();
        }
        entry.heirs++;
    }

    /**
     * Removes a program that had inherited a chain.
     *
     * @return the turns that are no longer held
     */
    List<String> removeHeir(String lastTurn) {
        Entry entry = entries.get(lastTurn);
        if (--entry.heirs > 0) {
            return List.of();
        }
        entries.remove(lastTurn);
        bytes -= (long) TURN_ID_BYTES * entry.chain.turnIds().size();
        List<String> released = entry.chain.turnIds().stream()
                .filter(id -> --held.get(id).chains == 0)
                .toList();
        released.forEach(held::remove);
        return released;
    }

    boolean holds(String turn) {
        return held.containsKey(turn);
    }

    Optional<InheritedChain> chain(String lastTurn) {
        return Optional.ofNullable(entries.get(lastTurn)).map(each -> each.chain);
    }

    Collection<InheritedChain> chains() {
        return entries.values().stream().map(each -> each.chain).toList();
    }

    /** Returns the memory that the chains use, bytes. */
    long bytes() {
        return bytes;
    }

    /** Returns the time until which some chain is needed, ms since the Unix epoch. */
    long neededUntilMillis() {
        return entries.values().stream()
                .mapToLong(each -> each.neededUntilMillis)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Records the expiry with which a held turn was logged. */
    void addLogged(String turn, long expiresAtMillis) {
        HeldTurn logged = held.get(turn);
        logged.loggedExpiryMillis = Math.max(logged.loggedExpiryMillis, expiresAtMillis);
    }

    /** Returns the expiry with which a held turn was logged, ms since the Unix epoch; minimum if it was not. */
    long loggedExpiryMillis(String turn) {
        return held.get(turn).loggedExpiryMillis;
    }

    /** Records that the log has failed to write records; all held turns are due to be logged again. */
    void markUnlogged() {
        entries.values().forEach(each -> each.loggedUntilMillis = Long.MIN_VALUE);
        held.values().forEach(each -> each.loggedExpiryMillis = Long.MIN_VALUE);
    }

    /** Extends the time for which a chain is needed. */
    void extend(String lastTurn, long untilMillis) {
        Entry entry = entries.get(lastTurn);
        entry.neededUntilMillis = Math.max(entry.neededUntilMillis, untilMillis);
    }

    /**
     * Returns the turns of a chain that must be logged again, since the log might delete them while the chain is needed.
     *
     * @param lastTurn the last turn of the chain
     * @param otherExpiry returns the expiry, ms since the Unix epoch, with which a turn was logged as one of its program
     */
    List<String> takeTurnsToLogAgain(String lastTurn, ToLongFunction<String> otherExpiry) {
        Entry entry = entries.get(lastTurn);
        long deletableUntilMillis = entry.neededUntilMillis - DurableLog.DELETION_DELAY.toMillis();
        if (entry.loggedUntilMillis >= deletableUntilMillis) {
            return List.of();
        }
        List<String> due = new ArrayList<>();
        long loggedUntilMillis = entry.neededUntilMillis;
        for (String id : entry.chain.turnIds()) {
            HeldTurn turn = held.get(id);
            long loggedExpiryMillis = Math.max(turn.loggedExpiryMillis, otherExpiry.applyAsLong(id));
            if (loggedExpiryMillis < deletableUntilMillis + LOG_AHEAD_MILLIS) {
                due.add(id);
                loggedExpiryMillis = entry.neededUntilMillis;
                turn.loggedExpiryMillis = loggedExpiryMillis;
            }
            loggedUntilMillis = Math.min(loggedUntilMillis, loggedExpiryMillis);
        }
        entry.loggedUntilMillis = loggedUntilMillis;
        return due;
    }
}
