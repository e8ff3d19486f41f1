package org.parsleydrift.kernel.platform;

/**
 * A row of the platform's VM list, which lags.
 *
 * @param address the VM's address
 * @param zone its availability zone
 * @param leaving true once the VM is about to go
 */
public record VmEntry(String address, String zone, boolean leaving) {}
