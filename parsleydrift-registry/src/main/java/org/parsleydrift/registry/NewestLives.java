package org.parsleydrift.registry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Latest incarnation seen of each runner id. Entries of a runner arrive by several paths, so an entry of an earlier
 * incarnation may arrive after one of the current incarnation and must be ignored.
 */
final class NewestLives {
    private static final int MOST = 16_384;

    private final Map<String, Long> bornMillis = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST;
        }
    };

    void seen(Runner runner) {
        bornMillis.merge(runner.id(), runner.startMillis(), Math::max);
    }

    boolean isFormer(Runner runner) {
        return runner.startMillis() < bornMillis.getOrDefault(runner.id(), 0L);
    }
}
