package org.parsleydrift.roles;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The newest summary of each availability zone that a node has heard, and what it told of them to the nodes of its own. */
final class ZoneSummaries {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Heard> zones = new TreeMap<>();
    private final Map<String, Long> toldVersions = new HashMap<>();

    /** A summary, the members that hold for it, and when it was made. */
    record Heard(ZoneSummary summary, Optional<List<ZoneSummary.Member>> members, long saidNanos) {
        private boolean sameHub(ZoneSummary other) {
            return summary.hub().equals(other.hub());
        }

        /** Members that the same hub doesn't name any more; those that a new hub hasn't heard yet may only be late. */
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
     * Takes a summary in if it is newer than what is known of its zone.
     *
     * @param told the summary
     * @param saidNanos when it was made
     * @return what holds for the zone from now on; empty if it is older
     */
    Optional<Heard> take(ZoneSummary told, long saidNanos) {
        Heard known = zones.get(told.zone());
        if (known != null && saidNanos - known.saidNanos() <= 0) {
            return Optional.empty();
        }
        boolean sameMembers =
                known != null && known.sameHub(told) && known.summary().version() == told.version();
        // A list of names alone must not take the place of one with addresses, which is passed on now and then.
        boolean keep = sameMembers && known.members().isPresent() && !told.namesAddresses();
        Optional<List<ZoneSummary.Member>> members = keep ? known.members() : told.members();
        Heard heard = new Heard(told, members, saidNanos);
        zones.put(told.zone(), heard);
        return Optional.of(heard);
    }

    /** What is known of a zone. */
    Optional<Heard> of(String zone) {
        return Optional.ofNullable(zones.get(zone));
    }

    /** Drops summaries that are older than a time; gives their zones. */
    List<String> forgetOlder(Duration limit, long now) {
        List<String> old = zones.entrySet().stream()
                .filter(each -> now - each.getValue().saidNanos() > limit.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        old.forEach(zones::remove);
        return old;
    }

    /** Summaries of all zones but one, to pass on; members that changed are told whatever the detail. */
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

    /** Whether members of this version were not told yet. */
    private boolean versionIsNews(String origin, long version) {
        Long former = toldVersions.put(origin, version);
        return former == null || former != version;
    }
}
