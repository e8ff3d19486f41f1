package org.parsleydrift.conversation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Collects the records of programs for a page of a list, and tracks the size of the page. */
final class RecordListBuilder {
    /** Size of an entry besides its texts, at most, bytes. */
    private static final int ENTRY_BYTES = 32;

    private final long nowMillis;
    private final Set<String> turnIds = new LinkedHashSet<>();
    private final List<Grant> grants = new ArrayList<>();
    private final List<StreamOrigin> origins = new ArrayList<>();
    private final List<String> originPrograms = new ArrayList<>();
    private final Map<String, Long> lives = new LinkedHashMap<>();
    private final Map<String, InheritedChain> chains = new LinkedHashMap<>();
    private final Map<String, List<String>> heirs = new HashMap<>();
    private long bytes;

    /**
     * Creates an empty page.
     *
     * @param nowMillis time of day, ms since the Unix epoch
     */
    RecordListBuilder(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    /** Returns the approximate size of the page, bytes. */
    long bytes() {
        return bytes;
    }

    /** Adds a program, whose records are to be kept until a time, ms since the Unix epoch. */
    void addProgram(String program, long expiresAtMillis) {
        lives.put(program, expiresAtMillis - nowMillis);
        count(program);
    }

    void addTurn(String id) {
        if (turnIds.add(id)) {
            count(id);
        }
    }

    void addGrants(List<Grant> added) {
        grants.addAll(added);
        added.forEach(each -> count(each.program(), each.request(), each.runner(), each.promptPart()));
    }

    void addOrigin(String program, StreamOrigin origin) {
        origins.add(origin);
        originPrograms.add(program);
        count(program, origin.stream(), origin.service(), origin.softwareVersion());
    }

    void addHeir(String program, InheritedChain chain) {
        heirs.computeIfAbsent(program, any -> new ArrayList<>()).add(chain.lastTurn());
        count(program, chain.lastTurn());
        if (chains.put(chain.lastTurn(), chain) == null) {
            chain.turnIds().forEach(this::count);
        }
    }

    private void count(String... texts) {
        for (String text : texts) {
            bytes += ENTRY_BYTES + text.length();
        }
    }

    /**
     * Returns the page.
     *
     * @param last the last program of the page; empty if no program follows
     */
    ReplicaReply.RecordList build(Optional<String> last) {
        return new ReplicaReply.RecordList(
                List.copyOf(turnIds),
                grants,
                origins,
                originPrograms,
                lives,
                List.copyOf(chains.values()),
                heirs,
                last);
    }
}
