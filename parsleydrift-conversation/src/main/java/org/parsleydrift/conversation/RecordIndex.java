package org.parsleydrift.conversation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * In-memory index of the turns, grants and origins of streams in the log of a store VM. How long a record is kept depends
 * on its program, by {@link ProgramLife}, whether it was written, fetched from another member or read from disk; a turn is
 * kept longer if other programs have continued it, by {@link InheritedChains}. Confined to one event loop.
 */
final class RecordIndex {
    /** Memory that a record uses besides its texts, bytes. */
    private static final int RECORD_OVERHEAD_BYTES = 600;

    private final Map<String, Turn> turns = new HashMap<>();
    private final Map<String, Map<String, Grant>> ledgers = new HashMap<>();
    private final Map<String, StreamOrigin> origins = new HashMap<>();
    private final NavigableMap<String, ProgramLife> lives = new TreeMap<>();
    /** Lives of turns and origins; those of grants are found by their program. */
    private final Map<RecordKey, ProgramLife> livesByRecord = new HashMap<>();

    private final InheritedChains chains = new InheritedChains();

    private final PriorityQueue<Expiry> expiryQueue = new PriorityQueue<>(Comparator.comparingLong(Expiry::atMillis));

    private long bytes;

    private record LifeRecord(ProgramLife life, RecordKey key) {}

    private record Expiry(ProgramLife life, long atMillis) {}

    /**
     * Reads the records of a log, except those of programs that have expired.
     *
     * @param log the log
     * @param nowMillis time of day, ms since the Unix epoch
     */
    void replay(DurableLog log, long nowMillis) {
        Map<String, Long> expiries = new HashMap<>();
        List<LoggedRecord.OfChain> inherited = new ArrayList<>();
        log.replay(entry -> {
            LoggedRecord.programOf(entry)
                    .ifPresent(program -> expiries.merge(program, entry.expiresAtMillis(), Math::max));
            if (LoggedRecord.isChain(entry)) {
                inherited.add((LoggedRecord.OfChain) LoggedRecord.of(entry));
            }
        });
        inherited.stream()
                .filter(each -> expiries.get(each.program()) >= nowMillis)
                .forEach(each -> addHeir(life(each.program()), each.chain()));
        log.replay(entry -> {
            long expiresAtMillis =
                    LoggedRecord.programOf(entry).map(expiries::get).orElseGet(entry::expiresAtMillis);
            restore(LoggedRecord.of(entry), entry.expiresAtMillis(), expiresAtMillis >= nowMillis);
        });
        lives.values().forEach(life -> {
            life.sortLogged();
            life.inheritedChains().forEach(each -> chains.extend(each, life.expiresAtMillis()));
            expiryQueue.add(new Expiry(life, life.expiresAtMillis()));
        });
    }

    /** Restores a record; of programs that have expired only the turns that others have inherited. */
    private void restore(LoggedRecord logged, long expiresAtMillis, boolean isLiving) {
        switch (logged) {
            case LoggedRecord.OfTurn(String program, Turn turn) -> {
                if (isLiving) {
                    put(turn);
                    restore(RecordKey.of(turn), lifeOfTurn(program, turn), expiresAtMillis);
                } else {
                    restoreHeldTurn(turn, expiresAtMillis);
                }
            }
            case LoggedRecord.OfHeldTurn(Turn turn) -> restoreHeldTurn(turn, expiresAtMillis);
            case LoggedRecord.OfGrant(Grant grant) -> {
                if (isLiving) {
                    put(grant);
                    life(grant.program()).addLogged(RecordKey.of(grant), expiresAtMillis);
                }
            }
            case LoggedRecord.OfOrigin(String program, StreamOrigin origin) -> {
                if (isLiving) {
                    put(origin);
                    restore(RecordKey.of(origin), lifeOfOrigin(program, origin), expiresAtMillis);
                }
            }
            case LoggedRecord.OfChain(String program, InheritedChain chain) -> {
                if (isLiving) {
                    life(program).addLogged(RecordKey.of(chain), expiresAtMillis);
                }
            }
        }
    }

    private void restore(RecordKey key, ProgramLife life, long expiresAtMillis) {
        assign(key, life);
        life.addLogged(key, expiresAtMillis);
    }

    private void restoreHeldTurn(Turn turn, long expiresAtMillis) {
        if (chains.holds(turn.id())) {
            put(turn);
            chains.addLogged(turn.id(), expiresAtMillis);
        }
    }

    /**
     * Adds the records of a program and extends the lives of all records that the program has here.
     *
     * @param records the records
     * @param untilMillis time at which they expire at the earliest, ms since the Unix epoch
     * @return the log entries to append: those that are new or changed, and those that must be logged again
     */
    List<DurableLog.Entry> add(ProgramRecords records, long untilMillis) {
        Set<ProgramLife> extended = new LinkedHashSet<>();
        List<LifeRecord> changed = new ArrayList<>();
        records.grants().forEach(grant -> {
            ProgramLife life = extend(life(grant.program()), untilMillis);
            extended.add(life);
            if (put(grant)) {
                changed.add(new LifeRecord(life, RecordKey.of(grant)));
            }
        });
        records.chains().forEach(chain -> {
            ProgramLife life = extend(life(records.program()), untilMillis);
            extended.add(life);
            if (addHeir(life, chain)) {
                changed.add(new LifeRecord(life, RecordKey.of(chain)));
            }
        });
        records.turns().forEach(turn -> {
            if (records.program().isEmpty()
                    && chains.holds(turn.id())
                    && !livesByRecord.containsKey(RecordKey.of(turn))) {
                put(turn);
                return;
            }
            ProgramLife life = extend(lifeOfTurn(records.program(), turn), untilMillis);
            extended.add(life);
            if (records.chains().isEmpty()) {
                adoptRecordsBefore(turn, life).forEach(key -> changed.add(new LifeRecord(life, key)));
            }
            boolean isNew = put(turn);
            if (assign(RecordKey.of(turn), life) || isNew) {
                changed.add(new LifeRecord(life, RecordKey.of(turn)));
            }
        });
        records.origins().forEach(origin -> {
            ProgramLife life = extend(lifeOfOrigin(records.program(), origin), untilMillis);
            extended.add(life);
            boolean isNew = put(origin);
            if (assign(RecordKey.of(origin), life) || isNew) {
                changed.add(new LifeRecord(life, RecordKey.of(origin)));
            }
        });
        changed.forEach(each -> each.life().add(each.key()));
        Stream<LifeRecord> again = extended.stream()
                .flatMap(life -> life.takeRecordsToLogAgain().stream().map(key -> new LifeRecord(life, key)));
        List<DurableLog.Entry> entries = new ArrayList<>(Stream.concat(changed.stream(), again)
                .map(each -> entry(each.life(), each.key()))
                .toList());
        extended.forEach(life -> entries.addAll(heldEntriesToLogAgain(life)));
        records.turns().forEach(turn -> entries.addAll(heldEntry(turn)));
        return entries;
    }

    /** Returns entries of the turns that a program has inherited and that the log might delete during its life. */
    private List<DurableLog.Entry> heldEntriesToLogAgain(ProgramLife life) {
        List<DurableLog.Entry> entries = new ArrayList<>();
        life.inheritedChains().forEach(chain -> {
            chains.extend(chain, life.expiresAtMillis());
            chains.takeTurnsToLogAgain(chain, this::loggedExpiryMillis).stream()
                    .filter(turns::containsKey)
                    .forEach(id ->
                            entries.add(new LoggedRecord.OfHeldTurn(turns.get(id)).entry(life.expiresAtMillis())));
        });
        return entries;
    }

    /** Returns an entry of a turn that has come after the chain that it belongs to, if it is not logged for as long. */
    private List<DurableLog.Entry> heldEntry(Turn turn) {
        if (!chains.holds(turn.id())) {
            return List.of();
        }
        long neededUntilMillis = chains.neededUntilMillis();
        if (Math.max(loggedExpiryMillis(turn.id()), chains.loggedExpiryMillis(turn.id())) >= neededUntilMillis) {
            return List.of();
        }
        chains.addLogged(turn.id(), neededUntilMillis);
        return List.of(new LoggedRecord.OfHeldTurn(turn).entry(neededUntilMillis));
    }

    private long loggedExpiryMillis(String turn) {
        RecordKey key = new RecordKey(RecordKey.Kind.TURN, turn);
        ProgramLife life = livesByRecord.get(key);
        return life == null ? Long.MIN_VALUE : life.loggedExpiryMillis(key);
    }

    private boolean addHeir(ProgramLife life, InheritedChain chain) {
        boolean isNew = life.addInheritedChain(chain.lastTurn());
        if (isNew) {
            chains.addHeir(chain);
        }
        return isNew;
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

    Optional<StreamOrigin> origin(String stream) {
        return Optional.ofNullable(origins.get(stream));
    }

    Optional<Turn> turn(String id) {
        return Optional.ofNullable(turns.get(id));
    }

    int size() {
        return turns.size();
    }

    /** Returns the memory that the records use, bytes. */
    long bytes() {
        return bytes + chains.bytes();
    }

    /** Returns whether a program has grants here which were not released. */
    boolean knows(String program) {
        return ledgers.getOrDefault(program, Map.of()).values().stream()
                .anyMatch(each -> each.state() != GrantState.RELEASED);
    }

    /** Records that the log has failed to write records; the next write of their programs logs all of them again. */
    void markUnlogged(ProgramRecords records) {
        keys(records).forEach(each -> each.life().markUnlogged());
        chains.markUnlogged();
    }

    /** Returns the log entries of all records that the log has failed to write. */
    List<DurableLog.Entry> entriesToLogAgain() {
        Stream<DurableLog.Entry> unlogged = lives.values().stream()
                .filter(ProgramLife::hasUnlogged)
                .flatMap(life -> life.takeRecordsToLogAgain().stream().map(key -> entry(life, key)));
        Stream<DurableLog.Entry> held = lives.values().stream().flatMap(life -> heldEntriesToLogAgain(life).stream());
        return Stream.concat(unlogged, held).toList();
    }

    /** Returns whether the log has failed to write one of some records, which was not logged again since. */
    boolean areUnlogged(ProgramRecords records) {
        return keys(records).anyMatch(each -> each.life().isUnlogged(each.key()));
    }

    private Stream<LifeRecord> keys(ProgramRecords records) {
        Stream<LifeRecord> grants = records.grants().stream()
                .filter(each -> lives.containsKey(each.program()))
                .map(each -> new LifeRecord(lives.get(each.program()), RecordKey.of(each)));
        Stream<RecordKey> others = Stream.concat(
                records.turns().stream().map(RecordKey::of),
                records.origins().stream().map(RecordKey::of));
        Stream<LifeRecord> inherited = records.chains().stream()
                .filter(each -> lives.containsKey(records.program()))
                .map(each -> new LifeRecord(lives.get(records.program()), RecordKey.of(each)));
        return Stream.of(
                        grants,
                        inherited,
                        others.filter(livesByRecord::containsKey)
                                .map(each -> new LifeRecord(livesByRecord.get(each), each)))
                .flatMap(Function.identity());
    }

    /** Returns the programs that have records here. */
    Set<String> programs() {
        return Collections.unmodifiableSet(lives.keySet());
    }

    /**
     * Lists the records of programs in the order of their names, at least one and as many as fit into a page.
     *
     * @param after the program after which the page begins; empty for the first page
     * @param pageBytes approximate size of the page, bytes
     * @param nowMillis time of day, ms since the Unix epoch
     */
    ReplicaReply.RecordList list(Optional<String> after, long pageBytes, long nowMillis) {
        RecordListBuilder page = new RecordListBuilder(nowMillis);
        Optional<String> last = Optional.empty();
        for (ProgramLife life :
                after.map(each -> lives.tailMap(each, false)).orElse(lives).values()) {
            if (last.isPresent() && page.bytes() >= pageBytes) {
                return page.build(last);
            }
            addTo(page, life);
            last = Optional.of(life.program());
        }
        return page.build(Optional.empty());
    }

    private void addTo(RecordListBuilder page, ProgramLife life) {
        page.addProgram(life.program(), life.expiresAtMillis());
        page.addGrants(ledger(life.program()));
        life.records().forEach(each -> {
            switch (each.kind()) {
                case TURN -> page.addTurn(each.id());
                case ORIGIN -> origin(each.id()).ifPresent(origin -> page.addOrigin(life.program(), origin));
                case GRANT, CHAIN -> {}
            }
        });
        life.inheritedChains().stream()
                .flatMap(each -> chains.chain(each).stream())
                .forEach(chain -> {
                    page.addHeir(life.program(), chain);
                    chain.turnIds().stream().filter(turns::containsKey).forEach(page::addTurn);
                });
    }

    /** Returns the program of a turn; empty if it has expired or is not known. */
    String programOfTurn(String id) {
        ProgramLife life = livesByRecord.get(new RecordKey(RecordKey.Kind.TURN, id));
        return life == null ? "" : life.program();
    }

    /** Removes the records of programs that have expired. */
    void expire(long nowMillis) {
        while (!expiryQueue.isEmpty() && expiryQueue.peek().atMillis() < nowMillis) {
            ProgramLife life = expiryQueue.poll().life();
            if (lives.get(life.program()) != life) {
                continue;
            }
            if (life.expiresAtMillis() < nowMillis) {
                lives.remove(life.program());
                life.records().forEach(each -> remove(each, life));
            } else {
                expiryQueue.add(new Expiry(life, life.expiresAtMillis()));
            }
        }
    }

    private void remove(RecordKey key, ProgramLife life) {
        livesByRecord.remove(key);
        switch (key.kind()) {
            case TURN -> {
                if (chains.holds(key.id())) {
                    chains.addLogged(key.id(), life.loggedExpiryMillis(key));
                } else {
                    removeTurn(key.id());
                }
            }
            case GRANT -> {
                bytes -= RECORD_OVERHEAD_BYTES;
                ledgers.remove(life.program());
            }
            case ORIGIN -> {
                bytes -= RECORD_OVERHEAD_BYTES;
                origins.remove(key.id());
            }
            case CHAIN ->
                chains.removeHeir(key.id()).stream()
                        .filter(each -> !livesByRecord.containsKey(new RecordKey(RecordKey.Kind.TURN, each)))
                        .forEach(this::removeTurn);
        }
    }

    private void removeTurn(String id) {
        Turn turn = turns.remove(id);
        bytes -= turn == null ? 0 : RECORD_OVERHEAD_BYTES + turn.textBytes();
    }

    private ProgramLife life(String program) {
        return lives.computeIfAbsent(program, ProgramLife::new);
    }

    private ProgramLife extend(ProgramLife life, long untilMillis) {
        boolean isNew = !life.hasBegun();
        life.extend(untilMillis);
        if (isNew) {
            expiryQueue.add(new Expiry(life, untilMillis));
        }
        return life;
    }

    /** Moves the records before a turn to its life if their program was not known; returns those moved. */
    private List<RecordKey> adoptRecordsBefore(Turn turn, ProgramLife life) {
        ProgramLife previous = livesByRecord.get(new RecordKey(RecordKey.Kind.TURN, turn.previous()));
        if (previous == null || previous == life || !isUnknown(previous)) {
            return List.of();
        }
        List<RecordKey> moved = List.copyOf(previous.records());
        moved.forEach(each -> assign(each, life));
        return moved;
    }

    /** Returns the life of a turn, which without a program is that of the turn before it. */
    private ProgramLife lifeOfTurn(String program, Turn turn) {
        if (!program.isEmpty()) {
            return life(program);
        }
        ProgramLife known = livesByRecord.get(RecordKey.of(turn));
        ProgramLife previous = livesByRecord.get(new RecordKey(RecordKey.Kind.TURN, turn.previous()));
        return known != null ? known : previous != null ? previous : life(TurnLineage.unnamedProgram(turn.id()));
    }

    private ProgramLife lifeOfOrigin(String program, StreamOrigin origin) {
        if (!program.isEmpty()) {
            return life(program);
        }
        ProgramLife known = livesByRecord.get(RecordKey.of(origin));
        return known != null ? known : life(TurnLineage.UNNAMED_PREFIX + "stream " + origin.stream());
    }

    private static boolean isUnknown(ProgramLife life) {
        return !life.program().isEmpty() && life.program().charAt(0) == TurnLineage.UNNAMED_PREFIX;
    }

    /**
     * Assigns a record to a life, to which it moves if its program was not known before.
     *
     * @return whether the record was not assigned to this life
     */
    private boolean assign(RecordKey record, ProgramLife life) {
        ProgramLife former = livesByRecord.put(record, life);
        if (former != null && former != life) {
            extend(life, former.expiresAtMillis());
            former.remove(record);
        }
        return former != life;
    }

    private boolean put(Turn turn) {
        boolean isNew = turns.putIfAbsent(turn.id(), turn) == null;
        bytes += isNew ? RECORD_OVERHEAD_BYTES + turn.textBytes() : 0;
        return isNew;
    }

    private boolean put(StreamOrigin origin) {
        boolean isNew = origins.putIfAbsent(origin.stream(), origin) == null;
        bytes += isNew ? RECORD_OVERHEAD_BYTES : 0;
        return isNew;
    }

    private boolean put(Grant grant) {
        Map<String, Grant> ledger = ledgers.computeIfAbsent(grant.program(), any -> new HashMap<>());
        Grant existing = ledger.get(grant.request());
        // Compares only the states, which is cheaper than equals() when a large log is replayed.
        if (existing != null && !grant.isLaterThan(existing)) {
            return false;
        }
        ledger.put(grant.request(), grant);
        bytes += existing == null ? RECORD_OVERHEAD_BYTES : 0;
        return true;
    }

    private DurableLog.Entry entry(ProgramLife life, RecordKey key) {
        LoggedRecord logged = switch (key.kind()) {
            case GRANT -> new LoggedRecord.OfGrant(ledgers.get(life.program()).get(key.id()));
            case TURN -> new LoggedRecord.OfTurn(life.program(), turns.get(key.id()));
            case ORIGIN -> new LoggedRecord.OfOrigin(life.program(), origins.get(key.id()));
            case CHAIN ->
                new LoggedRecord.OfChain(life.program(), chains.chain(key.id()).orElseThrow());
        };
        return logged.entry(life.expiresAtMillis());
    }
}
