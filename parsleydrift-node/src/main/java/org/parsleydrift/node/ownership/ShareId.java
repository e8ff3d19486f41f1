package org.parsleydrift.node.ownership;

/**
 * Identifies a share of a sealed journal.
 *
 * @param journal incarnation that wrote the journal
 * @param slot index of the share in the node record
 */
public record ShareId(String journal, int slot) {
    @Override
    public String toString() {
        return journal + "#" + slot;
    }
}
