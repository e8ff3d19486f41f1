package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;

/**
 * The VMs that replicate conversations at one epoch. A write is committed once {@link #writeQuorum} members have it on
 * disk. A read needs {@link #readQuorum} members that hold all committed writes of earlier epochs, so that every read
 * quorum intersects every write quorum. A member rejects writes of epochs before the one that it has adopted.
 *
 * @param epoch the configuration epoch, incremented by each change of the set
 * @param members the members at this epoch
 * @param previous the members at the preceding epoch, from which this epoch's members synchronize
 */
public record StoreSet(long epoch, List<StoreMember> members, List<StoreMember> previous) {
    /** Makes immutable copies of the lists. */
    public StoreSet {
        members = List.copyOf(members);
        previous = List.copyOf(previous);
    }

    /**
     * Returns the number of members that must persist a write.
     *
     * @return a majority of the members
     */
    public int writeQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Returns the number of members that must answer a read.
     *
     * @return the smallest number that intersects every write quorum
     */
    public int readQuorum() {
        return readQuorum(members.size());
    }

    /**
     * Returns the number of previous members from which a member must synchronize.
     *
     * @return the smallest number that intersects every write quorum of the preceding epoch; 0 if there was none
     */
    public int syncQuorum() {
        return readQuorum(previous.size());
    }

    /**
     * Finds a member by its disk ID.
     *
     * @param diskId the disk ID
     * @return the member, or empty if none has this disk ID
     */
    public Optional<StoreMember> memberByDiskId(String diskId) {
        return members.stream().filter(each -> each.diskId().equals(diskId)).findAny();
    }

    /**
     * Creates the successor of this set.
     *
     * @param next the members of the successor
     * @return the set at the next epoch, with this set's members as the previous ones
     */
    public StoreSet withMembers(List<StoreMember> next) {
        return new StoreSet(epoch + 1, next, members);
    }

    private static int readQuorum(int size) {
        return size == 0 ? 0 : size - (size / 2 + 1) + 1;
    }
}
