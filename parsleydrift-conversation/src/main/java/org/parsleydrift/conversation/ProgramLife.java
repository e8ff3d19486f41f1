package org.parsleydrift.conversation;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The life of one program's records on a store VM. They expire together: each write extends the life of all, and a record
 * that the log might delete before the end of that life is due to be logged again. A program of which some records were
 * lost to expiry would get tokens that it has used, or could not go on.
 */
final class ProgramLife {
    private final String program;
    /** Expiry with which each record was last logged, ms since the Unix epoch; in ascending order. */
    private final Map<RecordKey, Long> loggedExpiries = new LinkedHashMap<>();

    private final Set<RecordKey> unlogged = new HashSet<>();
    /** Last turns of the chains that the program has inherited. */
    private final Set<String> inheritedChains = new LinkedHashSet<>();

    private long expiresAtMillis = Long.MIN_VALUE;

    ProgramLife(String program) {
        this.program = program;
    }

    String program() {
        return program;
    }

    /** Returns the time at which all records expire, ms since the Unix epoch. */
    long expiresAtMillis() {
        return expiresAtMillis;
    }

    Set<RecordKey> records() {
        return loggedExpiries.keySet();
    }

    /** Extends the life; it never becomes shorter. */
    void extend(long untilMillis) {
        expiresAtMillis = Math.max(expiresAtMillis, untilMillis);
    }

    /** Returns the last turns of the chains that the program has inherited. */
    Set<String> inheritedChains() {
        return inheritedChains;
    }

    /** Adds a chain that the program has inherited; returns whether it is new. */
    boolean addInheritedChain(String lastTurn) {
        return inheritedChains.add(lastTurn);
    }

    /** Returns the expiry with which a record was last logged, ms since the Unix epoch; minimum if it was not. */
    long loggedExpiryMillis(RecordKey record) {
        return unlogged.contains(record) ? Long.MIN_VALUE : loggedExpiries.getOrDefault(record, Long.MIN_VALUE);
    }

    /** Adds a record that is logged with the expiry of the program. */
    void add(RecordKey record) {
        unlogged.remove(record);
        loggedExpiries.remove(record);
        loggedExpiries.put(record, expiresAtMillis);
    }

    /** Adds a record that was found in the log. */
    void addLogged(RecordKey record, long loggedExpiryMillis) {
        extend(loggedExpiryMillis);
        long latest = Math.max(loggedExpiryMillis, loggedExpiries.getOrDefault(record, Long.MIN_VALUE));
        loggedExpiries.remove(record);
        loggedExpiries.put(record, latest);
    }

    /** Records that the log has failed to write some of the records; all are due to be logged again. */
    void markUnlogged() {
        unlogged.addAll(loggedExpiries.keySet());
    }

    boolean hasUnlogged() {
        return !unlogged.isEmpty();
    }

    /** Returns whether the log has failed to write a record, which was not logged again since. */
    boolean isUnlogged(RecordKey record) {
        return unlogged.contains(record);
    }

    void remove(RecordKey record) {
        unlogged.remove(record);
        loggedExpiries.remove(record);
    }

    /** Returns whether the life has an end, as a record was added. */
    boolean hasBegun() {
        return expiresAtMillis != Long.MIN_VALUE;
    }

    /** Orders the records found in the log, whose entries of earlier versions are in no order. */
    void sortLogged() {
        List<Map.Entry<RecordKey, Long>> sorted = loggedExpiries.entrySet().stream()
                .map(each -> Map.entry(each.getKey(), each.getValue()))
                .sorted(Map.Entry.comparingByValue())
                .toList();
        loggedExpiries.clear();
        sorted.forEach(each -> loggedExpiries.put(each.getKey(), each.getValue()));
    }

    /** Returns the records that must be logged again, since the log might delete them during the life of the program. */
    List<RecordKey> takeRecordsToLogAgain() {
        long earliest = expiresAtMillis - DurableLog.DELETION_DELAY.toMillis();
        Set<RecordKey> due = new LinkedHashSet<>(unlogged);
        for (Map.Entry<RecordKey, Long> each : loggedExpiries.entrySet()) {
            if (each.getValue() >= earliest) {
                break;
            }
            due.add(each.getKey());
        }
        due.forEach(this::add);
        return List.copyOf(due);
    }
}
