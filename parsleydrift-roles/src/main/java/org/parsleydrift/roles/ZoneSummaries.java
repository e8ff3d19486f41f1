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

    private final Map<String, Heard> zones = new TreeMap<>();
    private final Map<String, Long> toldVersions = new HashMap<>();

    /** Received summary, the members that are valid for it, and the time at which it was created. */
    record Heard(ZoneSummary summary, Optional<List<ZoneSummary.Member>> members, long saidNanos) {
        private boolean sameHub(ZoneSummary other) {
            return summary.hub().equals(other.hub());
        }

        /**
         * Returns the members that the same hub no longer lists. A new hub may not have heard all members yet, so a
         * change of the hub yields none.
         */
        Set<String> leftBefore(Heard now) {
            if (!sameHub(now.summary()) || members.isEmpty() || now.members().isEmpty()) {
                return Set.of();
            }
            Set<String> left =
                    members.get().stream().map(ZoneSummary.Member::name).collect(Collectors.toSet());
            now.members().get().forEach(each -> left.remove(each.name()));
            return left;
        }
    }

    /**
     * Applies a summary if it is newer than the known one of its zone.
     *
     * @param told the summary
     * @param saidNanos time at which it was created, ns
     * @return the state of the zone after the update; empty if the summary is outdated
     */
    Optional<Heard> take(ZoneSummary told, long saidNanos) {
        Heard known = zones.get(told.zone());
        if (known != null && saidNanos - known.saidNanos() <= 0) {
            return Optional.empty();
        }
        boolean sameMembers =
                known != null && known.sameHub(told) && known.summary().version() == told.version();
        // A list with addresses is kept, because it is forwarded to other nodes, which may not know the addresses.
        boolean keep = sameMembers && known.members().isPresent() && !told.namesAddresses();
        Optional<List<ZoneSummary.Member>> members = keep ? known.members() : told.members();
        Heard heard = new Heard(told, members, saidNanos);
        zones.put(told.zone(), heard);
        return Optional.of(heard);
    }

    Optional<Heard> of(String zone) {
        return Optional.ofNullable(zones.get(zone));
    }

    /** Removes summaries older than a limit; returns their zones. */
    List<String> forgetOlder(Duration limit, long now) {
        List<String> old = zones.entrySet().stream()
                .filter(each -> now - each.getValue().saidNanos() > limit.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        old.forEach(zones::remove);
        return old;
    }

    /**
     * Returns the summaries of all zones but one, for forwarding. Members that have changed are included at any level
     * of detail.
     */
    List<ZoneSummary> toPassOn(String except, ZoneSummary.Detail detail, long now) {
        return zones.values().stream()
                .filter(each -> !each.summary().zone().equals(except))
                .map(each -> {
                    ZoneSummary summary = each.summary();
                    boolean changed = versionIsNews(summary.zone() + "/" + summary.hub(), summary.version());
                    ZoneSummary.Detail told = changed ? ZoneSummary.Detail.ADDRESSES : detail;
                    return summary.passedOn(each.members(), told, (now - each.saidNanos()) / NANOS_PER_MILLI);
                })
                .toList();
    }

    /** Whether this version of the members has not been sent yet. */
    private boolean versionIsNews(String origin, long version) {
        Long former = toldVersions.put(origin, version);
        return former == null || former != version;
    }
}
