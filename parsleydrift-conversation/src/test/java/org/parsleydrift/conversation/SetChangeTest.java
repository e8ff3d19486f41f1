package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** When a member that is to be emptied may leave the set. */
public class SetChangeTest {
    private static Optional<Integer> membersAfterRetiringA(String... names) {
        List<StoreMember> members = Stream.of(names)
                .map(name -> new StoreMember(name, name, "disk-" + name))
                .toList();
        StoreSet set = new StoreSet(1, members, List.of());
        Set<String> disks = members.stream().map(StoreMember::disk).collect(Collectors.toSet());
        return SetChange.decide(new SetChange.View(members.getLast(), set, disks, Set.of(), Set.of("a"), 1))
                .map(next -> next.members().size());
    }

    /**
     * Symptom: no turn can begin any more, for good. Events: of two members one is to be emptied and leaves; then the
     * other one's disk is lost. Cause: all records were left to a single disk.
     */
    @Test
    public void theOtherOfTwoIsNotLeftAlone() {
        assertEquals(membersAfterRetiringA("a", "b"), Optional.empty());
    }
}
