package org.parsleydrift.registry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Latest incarnation seen of each runner id. Entries of a runner arrive by several paths, so an entry of an earlier
 * incarnation may arrive after one of the current incarnation and must be ignored.
 */
final class LatestIncarnations {
    private static final int MAX_RUNNERS = 16_384;

    private final Map<String, Long> startMillisById = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_RUNNERS;
        }
    };

    void update(Runner runner) {
        startMillisById.merge(runner.id(), runner.startMillis(), Math::max);
    }

    boolean isOutdated(Runner runner) {
        return runner.startMillis() < startMillisById.getOrDefault(runner.id(), 0L);
    }
}
