package org.parsleydrift.node.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleydrift.node.membership.JournalShare;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.program.ProgramId;

/**
 * Finds the owner of a program by following sealed journals: from the journal named in the program's id to the holder
 * of the program's share, and so on until a journal that is not sealed. The chain is finite: a holder adopts a share
 * only while its own journal is open, so each journal in it was sealed later than the one before. Needs no state per
 * program. Confined to the node's event loop.
 */
public final class OwnerDirectory {
    private final String self;
    private final NodeRegistry registry;
    private final Set<ShareId> adopted = new HashSet<>();

    /**
     * Creates a directory.
     *
     * @param self name of this incarnation
     * @param registry the node records
     */
    public OwnerDirectory(String self, NodeRegistry registry) {
        this.self = self;
        this.registry = registry;
    }

    /**
     * Records that a share is durable in this node's journal.
     *
     * @param share the share
     */
    public void markAdopted(ShareId share) {
        adopted.add(share);
    }

    /**
     * Returns whether a share is durable in this node's journal.
     *
     * @param share the share
     * @return true after {@link #markAdopted(ShareId)}
     */
    public boolean hasAdopted(ShareId share) {
        return adopted.contains(share);
    }

    /**
     * Returns the incarnation that owns a program or will own it after adopting its share.
     *
     * @param id the program
     * @return the last element of the program's chain
     */
    public String owner(ProgramId id) {
        return chain(id).getLast();
    }

    /**
     * Returns whether this node owns a program and has adopted its share. Until then the node must not treat the
     * program as unknown, which would start it a second time.
     *
     * @param id the program
     * @return true if this node can serve requests about the program
     */
    public boolean canServe(ProgramId id) {
        OwnerChain walk = follow(id);
        return walk.journals.getLast().equals(self)
                && (walk.pendingShare.isEmpty() || adopted.contains(walk.pendingShare.get()));
    }

    /**
     * Returns the journals that a program has passed through.
     *
     * @param id the program
     * @return incarnations in order, from the one named in the program's id to the owner
     */
    public List<String> chain(ProgramId id) {
        return follow(id).journals;
    }

    private OwnerChain follow(ProgramId id) {
        List<String> chain = new ArrayList<>();
        String text = id.toString();
        String current = id.journal();
        chain.add(current);
        Optional<NodeRecord> record = registry.find(current).filter(NodeRecord::hasSealedJournal);
        while (record.isPresent()) {
            int slot = record.get().slot(text);
            JournalShare share = record.get().shares().get(slot);
            ShareId shareId = new ShareId(current, slot);
            current = share.holder();
            chain.add(current);
            if (!share.adopted()) {
                return new OwnerChain(chain, Optional.of(shareId));
            }
            record = registry.find(current).filter(NodeRecord::hasSealedJournal);
        }
        return new OwnerChain(chain, Optional.empty());
    }

    private record OwnerChain(List<String> journals, Optional<ShareId> pendingShare) {}
}
