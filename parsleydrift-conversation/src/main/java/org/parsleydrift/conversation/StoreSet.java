package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;

/**
 * The VMs that keep conversations, at one epoch. A write counts once {@link #writeQuorum} members have it on disk; a
 * read needs {@link #readQuorum} members that hold all that was written in earlier epochs, so that each read meets each
 * write that counts. A member takes no writes of an epoch before the one that it has adopted.
 *
 * @param epoch grows by one with each change of the set
 * @param members the members
 * @param previous the members at the epoch before, from which the present ones take over what was written
 */
public record StoreSet(long epoch, List<StoreMember> members, List<StoreMember> previous) {
    /** Copies the lists. */
    public StoreSet {
        members = List.copyOf(members);
        previous = List.copyOf(previous);
    }

    /**
     * Members that must have a write.
     *
     * @return a majority
     */
    public int writeQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Members that must answer a read.
     *
     * @return the least number that meets every write quorum
     */
    public int readQuorum() {
        return readQuorum(members.size());
    }

    /**
     * Members of the previous epoch from which a member must take over.
     *
     * @return the least number that meets every write quorum of that epoch
     */
    public int takeOverQuorum() {
        return readQuorum(previous.size());
    }

    /**
     * The member whose data has an id.
     *
     * @param disk the id
     * @return the member, if there is one
     */
    public Optional<StoreMember> byDisk(String disk) {
        return members.stream().filter(each -> each.disk().equals(disk)).findAny();
    }

    /**
     * The set that follows this one.
     *
     * @param next its members
     * @return the set at the next epoch
     */
    public StoreSet change(List<StoreMember> next) {
        return new StoreSet(epoch + 1, next, members);
    }

    private static int readQuorum(int size) {
        return size == 0 ? 0 : size - (size / 2 + 1) + 1;
    }
}
