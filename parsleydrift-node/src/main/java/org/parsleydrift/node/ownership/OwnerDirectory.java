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
 * Finds the owner of a program: the journal named in its id, or, once that is sealed, whoever took in the program's
 * share of it, and so on. The walk ends: a holder takes a share in only while its own journal is open, so each step
 * leads to a journal that was sealed later. The table has one row for each node record, none for programs. Confined to
 * the node's loop.
 */
public final class OwnerDirectory {
    private final String self;
    private final NodeRegistry registry;
    private final Set<ShareId> adopted = new HashSet<>();

    /**
     * Makes a directory.
     *
     * @param self this node's incarnation
     * @param registry the node records
     */
    public OwnerDirectory(String self, NodeRegistry registry) {
        this.self = self;
        this.registry = registry;
    }

    /**
     * Notes that a share is durable in this node's journal.
     *
     * @param share the share
     */
    public void adopted(ShareId share) {
        adopted.add(share);
    }

    /**
     * Whether a share is durable in this node's journal.
     *
     * @param share the share
     * @return true if it is
     */
    public boolean holds(ShareId share) {
        return adopted.contains(share);
    }

    /**
     * The incarnation that owns a program, or will once it has taken its share in.
     *
     * @param id the program
     * @return the end of its chain
     */
    public String owner(ProgramId id) {
        return chain(id).getLast();
    }

    /**
     * Whether this node owns a program and holds what was known of it. Until then it must not say that it does not know
     * the program: it would start it a second time.
     *
     * @param id the program
     * @return true if this node can answer for it
     */
    public boolean ready(ProgramId id) {
        Walk walk = walk(id);
        return walk.chain.getLast().equals(self) && (walk.pending.isEmpty() || adopted.contains(walk.pending.get()));
    }

    /**
     * The journals that a program went through, and its owner.
     *
     * @param id the program
     * @return the journal of its id first, the owner last
     */
    public List<String> chain(ProgramId id) {
        return walk(id).chain;
    }

    private Walk walk(ProgramId id) {
        List<String> chain = new ArrayList<>();
        String text = id.toString();
        String current = id.journal();
        chain.add(current);
        Optional<NodeRecord> record = registry.find(current).filter(NodeRecord::over);
        while (record.isPresent()) {
            int slot = record.get().slot(text);
            JournalShare share = record.get().shares().get(slot);
            ShareId shareId = new ShareId(current, slot);
            current = share.holder();
            chain.add(current);
            if (!share.adopted()) {
                return new Walk(chain, Optional.of(shareId));
            }
            record = registry.find(current).filter(NodeRecord::over);
        }
        return new Walk(chain, Optional.empty());
    }

    private record Walk(List<String> chain, Optional<ShareId> pending) {}
}
