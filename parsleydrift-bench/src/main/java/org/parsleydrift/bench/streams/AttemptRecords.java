package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** What runners have done for each attempt of a caller, and which bodies belong to an attempt. Thread-safe. */
final class AttemptRecords {
    private static final int MIN_REQUEST_BYTES = 20;
    private static final int MAX_REQUEST_BYTES = 3000;
    private static final int MIN_RESPONSE_BYTES = 10;
    private static final int MAX_RESPONSE_BYTES = 5000;

    private static final int LARGE_SHARE = 30;
    private static final int MIN_LARGE_BYTES = 200_000;
    private static final int MAX_LARGE_BYTES = 2_000_000;

    private final long seed;
    private final boolean large;
    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();

    /** What runners have done for one attempt. */
    private static final class Attempt {
        private final List<String> events = new ArrayList<>();
        private int runs;
        private boolean isRefused;
        private boolean isBrokenOff;
    }

    /**
     * Creates empty records.
     *
     * @param seed seed of the bodies
     * @param large whether some of the responses are large
     */
    AttemptRecords(long seed, boolean large) {
        this.seed = seed;
        this.large = large;
    }

    /** Returns a generator that depends on the seed and a text only. */
    SplittableRandom random(String text) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < text.length(); i++) {
            random = new SplittableRandom(random.nextLong() ^ text.charAt(i));
        }
        return random;
    }

    byte[] requestBody(String attempt) {
        return text(attempt + " asks\n", random("request " + attempt), MIN_REQUEST_BYTES, MAX_REQUEST_BYTES);
    }

    byte[] responseBody(String attempt, String path) {
        String beginning = attempt + " at " + path + "\n";
        SplittableRandom random = random("response " + attempt + path);
        boolean isLarge = large && random.nextInt(LARGE_SHARE) == 0;
        return isLarge
                ? text(beginning, random, MIN_LARGE_BYTES, MAX_LARGE_BYTES)
                : text(beginning, random, MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    }

    private static byte[] text(String beginning, SplittableRandom random, int minLength, int maxLength) {
        StringBuilder text = new StringBuilder(beginning);
        int length = random.nextInt(minLength, maxLength);
        for (int i = 0; i < length; i++) {
            text.append((char) ('a' + random.nextInt(26)));
        }
        return text.toString().getBytes(ISO_8859_1);
    }

    /** Records that a runner begins to run an attempt; returns how often runners have begun to. */
    int recordRun(String id, String event, boolean isBrokenOff) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            attempt.isBrokenOff |= isBrokenOff;
            attempt.events.add(event);
            return ++attempt.runs;
        }
    }

    /** Records that the caller was told that the attempt has not run and will not; returns whether it has run. */
    boolean refuse(String id) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            attempt.isRefused = true;
            return attempt.runs > 0;
        }
    }

    boolean isRefused(String id) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            return attempt.isRefused;
        }
    }

    /** Records what else a runner does for an attempt. */
    void record(String id, String event) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            attempt.events.add(event);
        }
    }

    /** Returns whether a runner's response to the attempt breaks off. */
    boolean isBrokenOff(String id) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            return attempt.isBrokenOff;
        }
    }

    int runs(String id) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            return attempt.runs;
        }
    }

    /** Returns all that runners have done for an attempt, in order. */
    String trace(String id) {
        Attempt attempt = attempt(id);
        synchronized (attempt) {
            return attempt.events.toString();
        }
    }

    private Attempt attempt(String id) {
        return attempts.computeIfAbsent(id, any -> new Attempt());
    }
}
