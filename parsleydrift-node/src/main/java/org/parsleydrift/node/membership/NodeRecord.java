package org.parsleydrift.node.membership;

import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.journal.Seal;

/**
 * What the platform holds about one node incarnation, in the object {@code node/INCARNATION} (docs/design/journal.md).
 *
 * @param incarnation its name, never used again
 * @param http where callers reach it
 * @param link where peers reach it
 * @param zone its availability zone
 * @param draining true once it takes no new work
 * @param shares the parts of its journal once that is sealed; empty while it may write
 */
public record NodeRecord(
        String incarnation, String http, String link, String zone, boolean draining, List<JournalShare> shares) {
    private static final String PREFIX = "node/";

    /** Copies the list. */
    public NodeRecord {
        shares = shares == null ? List.of() : List.copyOf(shares);
    }

    /**
     * The prefix of all node records.
     *
     * @return the prefix
     */
    public static String prefix() {
        return PREFIX;
    }

    /**
     * The name of a record on the platform.
     *
     * @param incarnation the incarnation
     * @return the key
     */
    public static String key(String incarnation) {
        return PREFIX + incarnation;
    }

    /**
     * Whether its journal is sealed.
     *
     * @return true if it may not write any more
     */
    public boolean over() {
        return !shares.isEmpty();
    }

    /**
     * Whether all of a sealed journal is durable elsewhere.
     *
     * @return true if no share of it waits
     */
    public boolean handedOver() {
        return over() && shares.stream().allMatch(JournalShare::adopted);
    }

    /**
     * The share to which a program belongs.
     *
     * @param programText the program's id as text
     * @return a position in {@link #shares}
     */
    public int slot(String programText) {
        return Math.floorMod(programText.hashCode(), shares.size());
    }

    /**
     * The record of a node that takes no new work.
     *
     * @return the record after
     */
    public NodeRecord withDraining() {
        return new NodeRecord(incarnation, http, link, zone, true, shares);
    }

    /**
     * The record with its seal, unless it has one.
     *
     * @param seal the seal found in the journal
     * @return the record after
     */
    public NodeRecord withSeal(Seal seal) {
        return over()
                ? this
                : new NodeRecord(
                        incarnation,
                        http,
                        link,
                        zone,
                        draining,
                        seal.successors().stream()
                                .map(successor -> new JournalShare(successor, false))
                                .toList());
    }

    /**
     * The record with a share changed, if that share is still as the caller saw it.
     *
     * @param slot its position
     * @param before what the caller saw
     * @param after what it becomes
     * @return the record after
     */
    public NodeRecord withShare(int slot, JournalShare before, JournalShare after) {
        if (slot >= shares.size() || !shares.get(slot).equals(before)) {
            return this;
        }
        List<JournalShare> copy = new ArrayList<>(shares);
        copy.set(slot, after);
        return new NodeRecord(incarnation, http, link, zone, draining, copy);
    }
}
