package org.parsleydrift.conversation;

/**
 * A store VM as a member of the store set. The disk ID identifies the member: a VM that restarts with an empty disk is a
 * different member, because the records that it acknowledged before are lost.
 *
 * @param name the VM name
 * @param diskId the random ID of the data on its disk
 * @param address the address at which other processes reach it
 */
public record StoreMember(String name, String diskId, String address) {}
