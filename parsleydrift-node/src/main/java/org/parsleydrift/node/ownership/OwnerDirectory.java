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
    private final Map<String, Set<String>> lineages = new HashMap<>();
    private final Set<String> covered = new HashSet<>();
    private boolean stale;

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
     * @param adoptedBy shares of it that are durable elsewhere, as {@link #share} writes them
     */
    public void sealed(String journal, Seal seal, Collection<String> adoptedBy) {
        boolean news = seals.putIfAbsent(journal, seal) == null;
        news |= holders.computeIfAbsent(journal, any -> new HashSet<>()).addAll(adoptedBy);
        stale |= news;
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
        String predecessor = chain.get(chain.size() - 2);
        Set<String> needed = new HashSet<>(chain);
        needed.retainAll(lineage(predecessor));
        return adopted.getOrDefault(predecessor, Set.of()).containsAll(needed);
    }

    /**
     * Writes a share: the programs of a journal that came to a holder by way of a predecessor. A holder can get programs
     * of one journal by several ways, at several times; each way counts by itself.
     *
     * @param holder the incarnation in whose journal they are durable
     * @param via its direct predecessor on that way
     * @return the share as text
     */
    public static String share(String holder, String via) {
        return holder + "<" + via;
    }

    /**
     * Whether all programs of a sealed journal are durable elsewhere, so that its segments may be deleted.
     *
     * @param journal the journal
     * @return true if each successor, or each of its own successors in turn, holds its share
     */
    public boolean covered(String journal) {
        followFlows();
        return covered.contains(journal);
    }

    /**
     * Follows the programs of each journal that is not covered, from successor to successor, to where they are durable
     * or to this node. One pass over the seals; journals once covered stay so and are passed over, so the cost depends
     * on the deaths that are still being worked off and not on all that ever were.
     */
    private void followFlows() {
        if (!stale) {
            return;
        }
        stale = false;
        lineages.clear();
        seals.keySet().stream()
                .filter(journal -> !covered.contains(journal))
                .toList()
                .forEach(journal -> {
                    if (follow(journal, journal, new HashSet<>())) {
                        covered.add(journal);
                    }
                });
    }

    /** Follows a journal's programs on from a sealed holder; true if all of them are durable. */
    private boolean follow(String journal, String via, Set<String> seen) {
        if (!seen.add(via)) {
            return true;
        }
        boolean all = true;
        for (String successor : seals.get(via).successors()) {
            if (successor.equals(self)) {
                lineages.computeIfAbsent(via, any -> new HashSet<>()).add(journal);
            }
            boolean durable = holds(successor, journal, via)
                    || (seals.containsKey(successor) && follow(journal, successor, seen));
            all &= durable;
        }
        return all;
    }

    /**
     * Whether a share is known to be durable with a holder.
     *
     * @param holder the incarnation
     * @param journal the journal whose programs came to it
     * @param via the direct predecessor by way of which they came
     * @return true if the node records say so
     */
    public boolean holds(String holder, String journal, String via) {
        return holders.getOrDefault(journal, Set.of()).contains(share(holder, via));
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
     * The journals that may tell of programs that come to this node by way of a predecessor: that one, and those whose
     * programs it should have taken in and did not.
     *
     * @param predecessor a direct predecessor
     * @return names, that of the predecessor among them unless all its programs are durable elsewhere
     */
    public Set<String> lineage(String predecessor) {
        followFlows();
        return lineages.getOrDefault(predecessor, Set.of());
    }

    /**
     * Journals that this node must still take in: its direct predecessors with a lineage larger than what was taken in.
     *
     * @return predecessors
     */
    public List<String> unadopted() {
        return predecessors(self).stream()
                .filter(journal -> !adopted.getOrDefault(journal, Set.of()).containsAll(lineage(journal)))
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
