package org.parsleydrift.node.membership;

import java.util.List;
import org.parsleydrift.journal.Seal;

/**
 * What the platform holds about one node incarnation, in the object {@code node/INCARNATION}.
 *
 * @param incarnation its name, never used again
 * @param http where callers reach it
 * @param link where peers reach it
 * @param zone its availability zone
 * @param draining true once it takes no new work
 * @param seal the seal of its journal, or null while it may write
 * @param adoptedBy shares of its journal that are durable elsewhere: holder and way
 */
public record NodeRecord(
        String incarnation,
        String http,
        String link,
        String zone,
        boolean draining,
        Seal seal,
        List<String> adoptedBy) {
    private static final String PREFIX = "node/";

    /** Copies the list. */
    public NodeRecord {
        adoptedBy = adoptedBy == null ? List.of() : List.copyOf(adoptedBy);
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
     * The record of a node that takes no new work.
     *
     * @return the record after
     */
    public NodeRecord withDraining() {
        return new NodeRecord(incarnation, http, link, zone, true, seal, adoptedBy);
    }

    /**
     * The record with its seal.
     *
     * @param found the seal
     * @return the record after
     */
    public NodeRecord withSeal(Seal found) {
        return new NodeRecord(incarnation, http, link, zone, draining, found, adoptedBy);
    }

    /**
     * The record with one more share that is durable elsewhere.
     *
     * @param share holder and way
     * @return the record after
     */
    public NodeRecord withAdopter(String share) {
        List<String> longer = java.util.stream.Stream.concat(adoptedBy.stream(), java.util.stream.Stream.of(share))
                .distinct()
                .toList();
        return new NodeRecord(incarnation, http, link, zone, draining, seal, longer);
    }

    boolean over() {
        return seal != null;
    }
}
