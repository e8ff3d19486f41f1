package org.parsleydrift.roles;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.QuotaPolicy;

/**
 * Settings of a process of the caller-driven deployment (docs/OPERATIONS.md).
 *
 * @param role role of the process
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param link listening address for other processes of the system
 * @param callers listening address for callers; entry only
 * @param readiness listening address of the readiness check; entry only
 * @param directory listening address of the directory of entry nodes; entry only
 * @param metrics listening address of the metrics
 * @param platform address of the platform's object store
 * @param plugin name of the plug-in for the protocols of callers, runners and platform
 * @param dataFolder folder for stored data; store only
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param toleratedLosses number of store VMs whose disks may be lost at once; store only
 * @param storeMembers maximum number of members of the store set; further store VMs are standbys; store only
 * @param quotaPolicy how requests are counted against the quota of their team; entry only
 * @param contention control of contended services; empty if it is switched off; entry only
 * @param grace time between SIGTERM and forced termination
 */
public record RoleSettings(
        RoleKind role,
        String vm,
        String zone,
        Address link,
        Optional<Address> callers,
        Optional<Address> readiness,
        Optional<Address> directory,
        Address metrics,
        String platform,
        String plugin,
        Optional<Path> dataFolder,
        boolean firstStart,
        int toleratedLosses,
        int storeMembers,
        QuotaPolicy quotaPolicy,
        Optional<ContentionSettings> contention,
        Duration grace) {}
