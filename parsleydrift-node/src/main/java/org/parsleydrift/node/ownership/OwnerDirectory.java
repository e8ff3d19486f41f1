package org.parsleydrift.node.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.parsleydrift.journal.Seal;
import org.parsleydrift.program.ProgramId;

/**
 * Finds the owner of a program: the journal named in its id, or, by way of seals, its successor. The table has one row
 * for each sealed journal, none for programs. Confined to the node's loop.
 */
public final class OwnerDirectory {
    private final String self;
    private final Map<String, Seal> seals = new HashMap<>();
    private final Map<String, Set<String>> holders = new HashMap<>();
    private final Map<String, Set<String>> adopted = new HashMap<>();

    /**
     * Makes an empty directory.
     *
     * @param self this node's incarnation
     */
    public OwnerDirectory(String self) {
        this.self = self;
    }

    /**
     * Notes a seal.
     *
     * @param journal the sealed journal
     * @param seal its seal
     * @param adoptedBy incarnations that hold their share of it durably in their own journals
     */
    public void sealed(String journal, Seal seal, Collection<String> adoptedBy) {
        seals.putIfAbsent(journal, seal);
        holders.computeIfAbsent(journal, any -> new HashSet<>()).addAll(adoptedBy);
    }

    /**
     * The incarnation that owns a program.
     *
     * @param id the program
     * @return the end of its chain of seals; an incarnation whose journal is not known to be sealed
     */
    public String owner(ProgramId id) {
        return chain(id).getLast();
    }

    /**
     * Whether this node owns a program and has taken in the journals that may tell of it. Until then it must not say
     * that it does not know the program: it would start it a second time.
     *
     * @param id the program
     * @return true if this node can answer for it
     */
    public boolean ready(ProgramId id) {
        List<String> chain = chain(id);
        if (!chain.getLast().equals(self)) {
            return false;
        }
        if (chain.size() == 1) {
            return true;
        }
        Set<String> inputs = adopted.get(chain.get(chain.size() - 2));
        return inputs != null && inputs.containsAll(unheld(chain));
    }

    /** The end of a chain, without the owner, back to the first journal that holds what came before it. */
    private List<String> unheld(List<String> chain) {
        int last = chain.size() - 2;
        int first = last;
        while (first > 0 && !holds(chain.get(first), chain.get(first - 1))) {
            first--;
        }
        return chain.subList(first, last + 1);
    }

    /**
     * Whether a journal holds durably all that came to it from another.
     *
     * @param holder the journal
     * @param journal the other journal
     * @return true if the other one need not be read for it
     */
    public boolean holds(String holder, String journal) {
        return holders.getOrDefault(journal, Set.of()).contains(holder);
    }

    /**
     * Whether all programs of a sealed journal are durable elsewhere, so that its segments may be deleted.
     *
     * @param journal the journal
     * @return true if each successor, or each of its own successors in turn, holds its share
     */
    public boolean covered(String journal) {
        Seal seal = seals.get(journal);
        return seal != null && seal.successors().stream().allMatch(each -> covers(journal, each, new HashSet<>()));
    }

    private boolean covers(String journal, String successor, Set<String> seen) {
        if (holds(successor, journal)) {
            return true;
        }
        Seal seal = seals.get(successor);
        return seal != null
                && seen.add(successor)
                && seal.successors().stream().allMatch(each -> covers(journal, each, seen));
    }

    /**
     * Journals whose seal names an incarnation as a successor.
     *
     * @param successor the successor
     * @return the sealed journals
     */
    public List<String> predecessors(String successor) {
        return seals.entrySet().stream()
                .filter(entry -> entry.getValue().successors().contains(successor))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * The seal of a journal.
     *
     * @param journal the journal
     * @return its seal, or null
     */
    public Seal seal(String journal) {
        return seals.get(journal);
    }

    /**
     * A journal and all journals that lead to it and are not held in full by the one they lead to.
     *
     * @param journal the journal
     * @return names, that of the journal among them
     */
    public Set<String> lineage(String journal) {
        Set<String> found = new HashSet<>();
        List<String> open = new ArrayList<>(List.of(journal));
        while (!open.isEmpty()) {
            String next = open.removeLast();
            if (found.add(next)) {
                predecessors(next).stream()
                        .filter(earlier -> !holds(next, earlier))
                        .forEach(open::add);
            }
        }
        return found;
    }

    /**
     * Journals that this node must still take in: its direct predecessors with a lineage larger than what was taken in.
     *
     * @return predecessors
     */
    public List<String> unadopted() {
        return predecessors(self).stream()
                .filter(journal -> !adopted.getOrDefault(journal, Set.of()).containsAll(lineage(journal)))
                .filter(journal -> adopted.containsKey(journal) || !holds(self, journal))
                .toList();
    }

    /**
     * What was taken in by way of a predecessor.
     *
     * @param predecessor the direct predecessor
     * @return the journals
     */
    public Set<String> adoptedBy(String predecessor) {
        return adopted.getOrDefault(predecessor, Set.of());
    }

    /**
     * Notes that this node has taken in journals.
     *
     * @param predecessor the direct predecessor
     * @param lineage the journals read for it
     */
    public void adopted(String predecessor, Set<String> lineage) {
        adopted.computeIfAbsent(predecessor, any -> new HashSet<>()).addAll(lineage);
    }

    /**
     * The journals that a program went through, and its owner.
     *
     * @param id the program
     * @return the journal of its id first, the owner last
     */
    public List<String> chain(ProgramId id) {
        List<String> chain = new ArrayList<>();
        String text = id.toString();
        String current = id.journal();
        chain.add(current);
        while (seals.containsKey(current)) {
            Optional<String> next = unvisited(seals.get(current), text, chain);
            if (next.isEmpty()) {
                return chain;
            }
            current = next.get();
            chain.add(current);
        }
        return chain;
    }

    /**
     * Two nodes sealed at one moment, each by a peer that did not know of the other seal, may name each other. A walk
     * that took the hashed successor each time would go round for ever; passing over those already met ends it, and
     * ends it at the same node wherever the same seals are known.
     */
    private static Optional<String> unvisited(Seal seal, String text, List<String> visited) {
        List<String> successors = seal.successors();
        int first = successors.indexOf(seal.successorOf(text));
        return IntStream.range(0, successors.size())
                .mapToObj(i -> successors.get((first + i) % successors.size()))
                .filter(successor -> !visited.contains(successor))
                .findFirst();
    }
}
