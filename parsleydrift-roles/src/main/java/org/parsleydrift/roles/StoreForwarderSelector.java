package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.parsleydrift.conversation.StoreForwarders;
import org.parsleydrift.kernel.LogLine;

/**
 * Chooses the peers that forward requests to store VMs. A peer that has answered for a store VM is kept. One that has not
 * answered in time is avoided for that store VM, since it may be partitioned from it without having noticed. The others
 * are chosen at random among all live peers, so that the load spreads and a partition of the hubs does not matter; peers
 * that have proof of reaching a quorum of the store VMs come first.
 */
final class StoreForwarderSelector implements StoreForwarders {
    private static final Logger LOG = System.getLogger(StoreForwarderSelector.class.getName());
    /**
     * Time for which a silent peer is avoided: long enough that a partitioned node does not return to it with every
     * request, short enough that it is used again soon after its path is restored.
     */
    static final Duration AVOIDANCE = Duration.ofSeconds(3);

    private final Supplier<List<Candidate>> candidates;
    private final RandomGenerator random;
    private final LongSupplier nanoClock;
    private final Map<String, Map<String, Long>> silentUntilNanos = new HashMap<>();
    private final Map<String, String> keptForwarders = new HashMap<>();

    /**
     * Live peer that may forward requests.
     *
     * @param link its link address
     * @param reachesStores whether it reports proof of reaching a quorum of the store VMs
     */
    record Candidate(String link, boolean reachesStores) {}

    /** Preference of a candidate, the best first. */
    private enum Preference {
        /** It has answered the latest request to the same store VM. */
        KEPT,
        /** It has answered the latest request to another store VM. */
        ANSWERED,
        /** It reports proof of reaching a quorum. */
        REPORTED,
        /** It reports no proof: its paths are broken, or it has not used them for a while. */
        UNPROVEN,
        /** It was silent for another store VM. */
        SILENT
    }

    StoreForwarderSelector(Supplier<List<Candidate>> candidates, RandomGenerator random, LongSupplier nanoClock) {
        this.candidates = candidates;
        this.random = random;
        this.nanoClock = nanoClock;
    }

    @Override
    public Optional<String> choose(String store) {
        removeExpired();
        Map<String, Long> silent = silentUntilNanos.getOrDefault(store, Map.of());
        Set<String> silentForAny = silentUntilNanos.values().stream()
                .flatMap(each -> each.keySet().stream())
                .collect(Collectors.toSet());
        Set<String> answered = new HashSet<>(keptForwarders.values());
        return candidates.get().stream()
                .filter(each -> !silent.containsKey(each.link()))
                .collect(Collectors.groupingBy(
                        each -> preference(each, store, answered, silentForAny), TreeMap::new, Collectors.toList()))
                .values()
                .stream()
                .findFirst()
                .map(best -> best.get(random.nextInt(best.size())).link());
    }

    private Preference preference(Candidate candidate, String store, Set<String> answered, Set<String> silent) {
        String link = candidate.link();
        if (link.equals(keptForwarders.get(store))) {
            return Preference.KEPT;
        }
        if (silent.contains(link)) {
            return Preference.SILENT;
        }
        if (answered.contains(link)) {
            return Preference.ANSWERED;
        }
        return candidate.reachesStores() ? Preference.REPORTED : Preference.UNPROVEN;
    }

    @Override
    public void recordAnswer(String store, String forwarder) {
        if (!forwarder.equals(keptForwarders.put(store, forwarder))) {
            logForwarder("store_forwarder_kept", store, forwarder);
        }
        silentUntilNanos.computeIfPresent(store, (any, silent) -> {
            silent.remove(forwarder);
            return silent;
        });
    }

    @Override
    public void recordSilence(String store, String forwarder) {
        if (keptForwarders.remove(store, forwarder)) {
            logForwarder("store_forwarder_silent", store, forwarder);
        }
        silentUntilNanos
                .computeIfAbsent(store, any -> new HashMap<>())
                .put(forwarder, nanoClock.getAsLong() + AVOIDANCE.toNanos());
    }

    private static void logForwarder(String event, String store, String forwarder) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of(event)
                        .with("store", store)
                        .with("peer", forwarder)
                        .toString());
    }

    private void removeExpired() {
        long now = nanoClock.getAsLong();
        silentUntilNanos.values().forEach(each -> each.values().removeIf(until -> now - until >= 0));
        silentUntilNanos.values().removeIf(Map::isEmpty);
    }
}
