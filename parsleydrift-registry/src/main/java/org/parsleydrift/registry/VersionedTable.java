package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Latest known state of all objects of one kind. Changes may arrive by several paths and in any order; an object never
 * reverts to an older revision.
 */
public final class VersionedTable {
    private final Map<String, SharedObject> objects = new HashMap<>();
    private long asOf;
    private long latestRevision;

    /**
     * Returns the revision up to which the table is complete.
     *
     * @return revision; 0 before the first list
     */
    public long asOf() {
        return asOf;
    }

    /**
     * Returns the revision of the latest known change of this kind. Nodes compare this value to find out which of them
     * is ahead; {@link #asOf} is not suitable, since it also advances with changes of other kinds.
     *
     * @return revision; 0 before the first list
     */
    public long latestRevision() {
        return latestRevision;
    }

    /**
     * Records that all changes up to a revision have been applied, as stated by the peer that sent them.
     *
     * @param revision revision of the peer's latest change
     */
    public void advanceLatestRevision(long revision) {
        latestRevision = Math.max(latestRevision, revision);
    }

    /**
     * Returns the objects that are not deleted.
     *
     * @return objects, in no particular order
     */
    public List<SharedObject> present() {
        return objects.values().stream().filter(each -> !each.deleted()).toList();
    }

    /**
     * Applies changes; those that are older than the known state are ignored.
     *
     * @param changes changes in any order
     * @return the changes that were applied
     */
    public List<SharedObject> apply(ObjectChanges changes) {
        List<SharedObject> applied =
                changes.objects().stream().filter(this::applyIfNewer).toList();
        asOf = Math.max(asOf, changes.asOf());
        applied.forEach(
                each -> latestRevision = Math.max(latestRevision, each.deleted() ? changes.asOf() : each.revision()));
        return applied;
    }

    /**
     * Replaces the contents with a complete list. Known objects that the list lacks are deleted, unless they are newer
     * than it.
     *
     * @param list the complete list
     * @return the changes that were applied, deletions included
     */
    public List<SharedObject> replace(ObjectChanges list) {
        Set<String> listed = list.objects().stream().map(SharedObject::name).collect(Collectors.toSet());
        List<SharedObject> removed = present().stream()
                .filter(each -> !listed.contains(each.name()) && each.revision() <= list.asOf())
                .map(each -> new SharedObject(each.name(), each.revision(), true, new byte[0]))
                .toList();
        removed.forEach(each -> objects.put(each.name(), each));
        if (!removed.isEmpty()) {
            latestRevision = Math.max(latestRevision, list.asOf());
        }
        List<SharedObject> applied = apply(list);
        return Stream.concat(removed.stream(), applied.stream()).toList();
    }

    private boolean applyIfNewer(SharedObject change) {
        SharedObject known = objects.get(change.name());
        boolean newer = known == null
                || change.revision() > known.revision()
                || (change.deleted() && !known.deleted() && change.revision() == known.revision());
        if (newer) {
            objects.put(change.name(), change);
        }
        return newer;
    }
}
