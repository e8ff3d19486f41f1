package org.parsleydrift.roles;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.placement.QuotaPolicy;

/**
 * Settings of a process of the caller-driven deployment (docs/OPERATIONS.md).
 *
 * @param role what the process does
 * @param vm the VM's name
 * @param zone its availability zone
 * @param link address for other processes of the system
 * @param callers address for callers; entry only
 * @param readiness address that tells whether it is ready; entry only
 * @param directory address that tells which addresses to use; entry only
 * @param metrics address of the metrics
 * @param platform address of the shared objects
 * @param outside name of the plug-in that speaks to callers, runners and the platform
 * @param dataFolder folder on the disk; store only
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param toleratedLosses disks of store VMs that may be lost at once; store only
 * @param storeMembers members of the set at most; store VMs beyond them stand by; store only
 * @param allotmentRule how requests count against their team's allotment; entry only
 * @param grace time between SIGTERM and the end by force
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
        String outside,
        Optional<Path> dataFolder,
        boolean firstStart,
        int toleratedLosses,
        int storeMembers,
        QuotaPolicy allotmentRule,
        Duration grace) {}
