package org.parsleydrift.registry;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Changes that arrive by several paths never revert an object. */
public class VersionedTableTest {
    private final VersionedTable table = new VersionedTable();

    private static SharedObject at(String name, long revision) {
        return new SharedObject(name, revision, false, new byte[0]);
    }

    private static SharedObject removed(String name, long revision) {
        return new SharedObject(name, revision, true, new byte[0]);
    }

    /** Guards against an older entry, forwarded by a slow peer, making a draining runner available again. */
    @Test
    public void olderChangesAreIgnored() {
        VersionedTable fresh = new VersionedTable();
        fresh.apply(new ObjectChanges(List.of(at("r", 5)), 5));
        assertEquals(fresh.apply(new ObjectChanges(List.of(at("r", 4)), 4)), List.of());
        assertEquals(fresh.apply(new ObjectChanges(List.of(removed("r", 5)), 7)).size(), 1);
        assertEquals(fresh.apply(new ObjectChanges(List.of(at("r", 5)), 6)), List.of());
        assertEquals(fresh.present(), List.of());
        assertEquals(fresh.apply(new ObjectChanges(List.of(at("r", 9)), 9)).size(), 1);
    }

    @Test
    public void listDeletesMissingObjectsUnlessNewer() {
        table.apply(new ObjectChanges(List.of(at("old", 3), at("new", 12)), 12));
        List<SharedObject> applied = table.replace(new ObjectChanges(List.of(at("other", 10)), 10));
        assertEquals(applied.stream().map(SharedObject::name).toList(), List.of("old", "other"));
        assertEquals(table.present().stream().map(SharedObject::name).sorted().toList(), List.of("new", "other"));
        assertEquals(table.asOf(), 12);
        assertEquals(table.latestRevision(), 12);
    }
}
