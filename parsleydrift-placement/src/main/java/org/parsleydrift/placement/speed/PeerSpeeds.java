package org.parsleydrift.placement.speed;

import java.lang.System.Logger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;

/** The latest speed sums of each peer and their totals. A peer's report replaces its earlier one. */
final class PeerSpeeds {
    private static final Logger LOG = System.getLogger(PeerSpeeds.class.getName());
    private static final Total NONE = new Total(0, 0);
    /** Weight below which a total counts as empty; differences of sums leave rounding errors. */
    private static final double MIN_WEIGHT = 1e-6;

    private final Map<String, Map<Long, SpeedSum>> byPeer = new HashMap<>();
    private final Map<Long, Total> totals = new HashMap<>();
    private final Set<String> invalidPeers = new HashSet<>();

    /** Number of observations, and the sum of the logarithms of their factors. */
    record Total(double weight, double sum) {
        private Total plus(SpeedSum added, int sign) {
            double observations = sign * (double) added.count() / SpeedSum.COUNTS_PER_OBSERVATION;
            double newWeight = weight + observations;
            return newWeight < MIN_WEIGHT
                    ? NONE
                    : new Total(newWeight, sum + observations * Math.log(added.meanFactor()));
        }
    }

    void update(String peer, Map<Long, SpeedSum> reported) {
        Map<Long, SpeedSum> valid = reported.entrySet().stream()
                .filter(each -> each.getValue().isValid())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        logInvalid(peer, reported.size() - valid.size());
        Map<Long, SpeedSum> previous = valid.isEmpty() ? byPeer.remove(peer) : byPeer.put(peer, valid);
        if (previous != null) {
            previous.forEach((runner, sum) -> add(runner, sum, -1));
        }
        valid.forEach((runner, sum) -> add(runner, sum, 1));
    }

    Total total(long runner) {
        return totals.getOrDefault(runner, NONE);
    }

    private void add(Long runner, SpeedSum sum, int sign) {
        Total changed = totals.getOrDefault(runner, NONE).plus(sum, sign);
        if (changed.equals(NONE)) {
            totals.remove(runner);
        } else {
            totals.put(runner, changed);
        }
    }

    /** Logs the first of a series of reports with invalid sums, since reports arrive several times per second. */
    private void logInvalid(String peer, int count) {
        if (count == 0) {
            invalidPeers.remove(peer);
        } else if (invalidPeers.add(peer)) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("runner_speed_invalid")
                            .with("peer", peer)
                            .with("ignored", count)
                            .toString());
        }
    }
}
