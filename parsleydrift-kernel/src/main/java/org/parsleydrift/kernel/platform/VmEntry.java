package org.parsleydrift.kernel.platform;

/**
 * An entry of the platform's VM list, which is eventually consistent.
 *
 * @param address the address of the VM
 * @param zone the availability zone of the VM
 * @param leaving true if the VM is about to be terminated
 */
public record VmEntry(String address, String zone, boolean leaving) {}
