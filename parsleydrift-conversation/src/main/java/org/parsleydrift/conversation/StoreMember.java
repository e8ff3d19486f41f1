package org.parsleydrift.conversation;

/**
 * A store VM as a member of the set. An emptied disk makes another member of the same VM, since what the old one
 * acknowledged is not there any more.
 *
 * @param name the VM's name
 * @param disk the random id of the data on its disk
 * @param address its address for other processes of the system
 */
public record StoreMember(String name, String disk, String address) {}
