package org.parsleydrift.roles;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Latest summary received for each availability zone, and the versions of them that were sent to the nodes of the own
 * zone.
 */
final class ZoneSummaries {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Received> zones = new TreeMap<>();
    private final Map<String, Long> sentVersions = new HashMap<>();

    /** Received summary, the members that are valid for it, and the time at which it was created. */
    record Received(ZoneSummary summary, Optional<List<ZoneSummary.Member>> members, long createdNanos) {
        private boolean hasSameHub(ZoneSummary other) {
            return summary.hub().equals(other.hub());
        }

        /**
         * Returns the members that the same hub no longer lists. A new hub may not have heard all members yet, so a
         * change of the hub yields none.
         */
        Set<String> departedBefore(Received next) {
            if (!hasSameHub(next.summary())
                    || members.isEmpty()
                    || next.members().isEmpty()) {
                return Set.of();
            }
            Set<String> departed =
                    members.get().stream().map(ZoneSummary.Member::name).collect(Collectors.toSet());
            next.members().get().forEach(each -> departed.remove(each.name()));
            return departed;
        }
    }

    /**
     * Applies a summary if it is newer than the known one of its zone.
     *
     * @param summary the summary
     * @param createdNanos time at which it was created, ns
     * @return the state of the zone after the update; empty if the summary is outdated
     */
    Optional<Received> apply(ZoneSummary summary, long createdNanos) {
        Received known = zones.get(summary.zone());
        if (known != null && createdNanos - known.createdNanos() <= 0) {
            return Optional.empty();
        }
        boolean sameMembers =
                known != null && known.hasSameHub(summary) && known.summary().version() == summary.version();
        // A list with addresses is kept, because it is forwarded to other nodes, which may not know the addresses.
        boolean keep = sameMembers && known.members().isPresent() && !summary.hasAddresses();
        Optional<List<ZoneSummary.Member>> members = keep ? known.members() : summary.members();
        Received received = new Received(summary, members, createdNanos);
        zones.put(summary.zone(), received);
        return Optional.of(received);
    }

    Optional<Received> of(String zone) {
        return Optional.ofNullable(zones.get(zone));
    }

    /** Removes summaries older than a limit; returns their zones. */
    List<String> removeOlderThan(Duration limit, long now) {
        List<String> old = zones.entrySet().stream()
                .filter(each -> now - each.getValue().createdNanos() > limit.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        old.forEach(zones::remove);
        return old;
    }

    /**
     * Returns the summaries of all zones but one, for forwarding. Members that have changed are included at any level
     * of detail.
     */
    List<ZoneSummary> summariesToForward(String except, ZoneSummary.Detail detail, long now) {
        return zones.values().stream()
                .filter(each -> !each.summary().zone().equals(except))
                .map(each -> {
                    ZoneSummary summary = each.summary();
                    boolean changed = isUnsentVersion(summary.zone() + "/" + summary.hub(), summary.version());
                    ZoneSummary.Detail included = changed ? ZoneSummary.Detail.ADDRESSES : detail;
                    return summary.forForwarding(
                            each.members(), included, (now - each.createdNanos()) / NANOS_PER_MILLI);
                })
                .toList();
    }

    /** Whether this version of the members has not been sent yet. */
    private boolean isUnsentVersion(String origin, long version) {
        Long former = sentVersions.put(origin, version);
        return former == null || former != version;
    }
}
