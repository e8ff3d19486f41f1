package org.parsleydrift.node.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.parsleydrift.manifest.RunnerSpec;

/** This node's view of one runner: its load, availability and cached prompts. Confined to the node's event loop. */
final class Runner {
    private static final int MAX_CACHE_ENTRIES = 4096;

    private final Map<String, Integer> cachedCharacters = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_CACHE_ENTRIES;
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

    void setSpec(RunnerSpec changed) {
        spec = changed;
    }

    String address() {
        return spec.address();
    }

    int running() {
        return running;
    }

    void incrementRunning() {
        running++;
    }

    void decrementRunning() {
        running--;
    }

    boolean isLeaving() {
        return leaving;
    }

    void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
        if (isLeaving) {
            cachedCharacters.clear();
        }
    }

    /** Excludes the runner from placement until the given time and drops its cache estimates. */
    void avoidUntil(long nanos) {
        avoidUntilNanos = nanos;
        cachedCharacters.clear();
    }

    boolean isUsable(long nowNanos) {
        return !leaving && nowNanos >= avoidUntilNanos;
    }

    int cachedCharacters(String key) {
        return cachedCharacters.getOrDefault(key, 0);
    }

    void recordCachedPrompt(String key, int characters) {
        cachedCharacters.put(key, characters);
    }

    void forgetProgram(String program) {
        cachedCharacters.keySet().removeIf(key -> key.startsWith(program + "/"));
    }
}
