package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The newest known state of all objects of one kind. Changes may come on several ways (the platform, or other nodes)
 * and in any order: an object never goes back to an older revision.
 */
public final class VersionedTable {
    private final Map<String, SharedObject> objects = new HashMap<>();
    private long asOf;
    private long newestChange;

    /**
     * The revision up to which the table is complete.
     *
     * @return the revision; 0 before the first list
     */
    public long asOf() {
        return asOf;
    }

    /**
     * The revision of the newest change that is known. Of two nodes the one with the higher value knows more;
     * {@link #asOf} can't tell that, since it grows with changes of other kinds too.
     *
     * @return the revision; 0 before the first list
     */
    public long newestChange() {
        return newestChange;
    }

    /**
     * Notes that a peer's list, which was taken in, holds all changes up to its newest.
     *
     * @param revision the revision of the peer's newest change
     */
    public void knows(long revision) {
        newestChange = Math.max(newestChange, revision);
    }

    /**
     * Objects that are present.
     *
     * @return the objects
     */
    public List<SharedObject> present() {
        return objects.values().stream().filter(each -> !each.deleted()).toList();
    }

    /**
     * Takes in changes.
     *
     * @param changes changes in any order
     * @return those that were news
     */
    public List<SharedObject> apply(ObjectChanges changes) {
        List<SharedObject> news =
                changes.objects().stream().filter(this::takeIn).toList();
        asOf = Math.max(asOf, changes.asOf());
        news.forEach(each -> newestChange = Math.max(newestChange, each.deleted() ? changes.asOf() : each.revision()));
        return news;
    }

    /**
     * Takes in a full list. Known objects that it lacks were removed, unless they are newer than the list.
     *
     * @param list the list
     * @return changes that were news, removals included
     */
    public List<SharedObject> replace(ObjectChanges list) {
        Set<String> listed = list.objects().stream().map(SharedObject::name).collect(Collectors.toSet());
        List<SharedObject> removed = present().stream()
                .filter(each -> !listed.contains(each.name()) && each.revision() <= list.asOf())
                .map(each -> new SharedObject(each.name(), each.revision(), true, new byte[0]))
                .toList();
        removed.forEach(each -> objects.put(each.name(), each));
        if (!removed.isEmpty()) {
            newestChange = Math.max(newestChange, list.asOf());
        }
        List<SharedObject> news = apply(list);
        return Stream.concat(removed.stream(), news.stream()).toList();
    }

    private boolean takeIn(SharedObject change) {
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
