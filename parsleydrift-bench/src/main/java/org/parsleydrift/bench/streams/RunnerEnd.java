package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.Locale;
import java.util.stream.Stream;

/** How the process of a runner ends under a request. */
public enum RunnerEnd {
    /** Its connections are closed, and its address refuses new ones. */
    RESET,
    /** It answers nothing more, its connections stay open, and new ones are not established. */
    SILENT,
    /** As {@link #SILENT}, after the head and the first event or a part of the body. */
    SILENT_WITHIN_RESPONSE,
    /** As {@link #SILENT}, but a successor at the same address accepts connections before the request times out. */
    SILENT_REPLACED,
    /** As {@link #RESET}, and a successor is back at the same address at once. */
    RESET_REPLACED,
    /** The connection of the request is closed and new ones are refused, but other ones answer for a while. */
    LISTENER_FIRST;

    /** Time for which an entry outlives its runner that has reset its connections. */
    private static final Duration ENTRY_LIFE = Duration.ofMillis(1500);
    /** Time for which an entry outlives its silent runner: three heartbeats. */
    private static final Duration SILENT_ENTRY_LIFE = Duration.ofMillis(3600);

    private static final Duration RESTART = Duration.ofMillis(500);

    /** Returns whether the caller waits until its deadline. */
    boolean isSilent() {
        return switch (this) {
            case SILENT, SILENT_WITHIN_RESPONSE, SILENT_REPLACED -> true;
            case RESET, RESET_REPLACED, LISTENER_FIRST -> false;
        };
    }

    /** Returns whether the successor has the address of its predecessor. */
    boolean isReplaced() {
        return this == SILENT_REPLACED || this == RESET_REPLACED;
    }

    /** Returns the time from the end to the start of a successor at the same address. */
    Duration restartTime() {
        return isSilent() ? RESTART : Duration.ZERO;
    }

    /** Returns the time from the end to the removal of the runner's entry. */
    Duration entryLife() {
        return isSilent() ? SILENT_ENTRY_LIFE : ENTRY_LIFE;
    }

    /** Returns the beginning of the names of the requests under which runners end in this way. */
    String prefix() {
        return VersionedRunner.ENDING + name().toLowerCase(Locale.ROOT).replace('_', '-') + ".";
    }

    /** Returns how a runner ends under a request that names no way, as those of {@link #RESET} do. */
    static RunnerEnd of(String path) {
        return Stream.of(values())
                .filter(each -> path.contains(each.prefix()))
                .findAny()
                .orElse(RESET);
    }
}
