package org.parsleydrift.node.membership;

import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.journal.Seal;

/**
 * Record of a node incarnation, stored on the platform in the object {@code node/INCARNATION} (docs/design/journal.md).
 *
 * @param incarnation unique name, never reused
 * @param http address for callers
 * @param link address for peers
 * @param zone availability zone
 * @param draining true once the node accepts no new work
 * @param shares the shares of its journal, empty until the journal is sealed
 */
public record NodeRecord(
        String incarnation, String http, String link, String zone, boolean draining, List<JournalShare> shares) {
    private static final String PREFIX = "node/";

    /** Copies the list of shares; null, as in records without shares, becomes the empty list. */
    public NodeRecord {
        shares = shares == null ? List.of() : List.copyOf(shares);
    }

    /**
     * Returns the key prefix of all node records on the platform.
     *
     * @return the prefix, ending in a slash
     */
    public static String prefix() {
        return PREFIX;
    }

    /**
     * Returns the key of an incarnation's record on the platform.
     *
     * @param incarnation name of the incarnation
     * @return the key
     */
    public static String key(String incarnation) {
        return PREFIX + incarnation;
    }

    /**
     * Returns whether the incarnation's journal is sealed.
     *
     * @return true if the incarnation can no longer write
     */
    public boolean hasSealedJournal() {
        return !shares.isEmpty();
    }

    /**
     * Returns whether every share of the sealed journal is durable in its holder's journal.
     *
     * @return false also while the journal is not sealed
     */
    public boolean hasAllSharesAdopted() {
        return hasSealedJournal() && shares.stream().allMatch(JournalShare::adopted);
    }

    /**
     * Returns the share that a program belongs to. The journal must be sealed.
     *
     * @param programText the program's id as text
     * @return an index into {@link #shares}
     */
    public int slot(String programText) {
        return Math.floorMod(programText.hashCode(), shares.size());
    }

    /**
     * Returns a copy of the record that is marked as draining.
     *
     * @return the copy
     */
    public NodeRecord withDraining() {
        return new NodeRecord(incarnation, http, link, zone, true, shares);
    }

    /**
     * Returns a copy with one share for each successor named in a seal.
     *
     * @param seal the seal found in the journal
     * @return the copy, or this record if it already has shares
     */
    public NodeRecord withSeal(Seal seal) {
        return hasSealedJournal()
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
     * Returns a copy with a share replaced, if it equals the expected value.
     *
     * @param slot index of the share
     * @param before the expected value
     * @param after the new value
     * @return the copy, or this record if the share differs from the expected value
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
