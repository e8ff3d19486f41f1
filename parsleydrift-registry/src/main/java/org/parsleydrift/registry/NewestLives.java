package org.parsleydrift.registry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest start seen of each runner id. News of a runner come by several ways, and an entry written by a former life
 * may arrive after one of the present life; taken in, it would bring back an address or a state that is gone.
 */
final class NewestLives {
    /** Ids remembered; some 100 bytes each, four times the runners of the largest deployment. */
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
