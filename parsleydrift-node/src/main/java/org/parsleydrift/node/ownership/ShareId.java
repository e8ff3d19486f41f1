package org.parsleydrift.node.ownership;

/**
 * Names a share of a sealed journal.
 *
 * @param journal the journal
 * @param slot the share's position in its node record
 */
public record ShareId(String journal, int slot) {
    @Override
    public String toString() {
        return journal + "#" + slot;
    }
}
