package org.parsleydrift.node.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.parsleydrift.manifest.RunnerSpec;

/** This node's view of one runner: its load, availability and cached prompts. Confined to the node's event loop. */
final class Runner {
    private static final int WARM_ENTRIES = 4096;

    private final Map<String, Integer> warm = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > WARM_ENTRIES;
        }
    };
    private RunnerSpec spec;
    private int running;
    private boolean leaving;
    private long avoidUntilNanos = Long.MIN_VALUE;

    Runner(RunnerSpec spec) {
        this.spec = spec;
    }

    RunnerSpec spec() {
        return spec;
    }

    void spec(RunnerSpec changed) {
        spec = changed;
    }

    String address() {
        return spec.address();
    }

    int running() {
        return running;
    }

    void began() {
        running++;
    }

    void ended() {
        running--;
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean now) {
        leaving = now;
        if (now) {
            warm.clear();
        }
    }

    /** Excludes the runner from placement until the given time and drops its cache estimates. */
    void avoidUntil(long nanos) {
        avoidUntilNanos = nanos;
        warm.clear();
    }

    boolean usable(long nowNanos) {
        return !leaving && nowNanos >= avoidUntilNanos;
    }

    int warmCharacters(String key) {
        return warm.getOrDefault(key, 0);
    }

    void warmed(String key, int characters) {
        warm.put(key, characters);
    }

    void cooled(String program) {
        warm.keySet().removeIf(key -> key.startsWith(program + "/"));
    }
}
