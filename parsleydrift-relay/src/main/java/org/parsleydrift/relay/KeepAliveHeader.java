package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** Parser of the {@code Keep-Alive} header. */
final class KeepAliveHeader {
    private static final String TIMEOUT = "timeout=";

    private KeepAliveHeader() {}

    /** Returns the idle timeout that the header announces; empty for a missing header or parameter. */
    static Optional<Duration> timeout(String value) {
        if (value == null) {
            return Optional.empty();
        }
        return Arrays.stream(value.split(","))
                .map(String::trim)
                .filter(each -> each.startsWith(TIMEOUT))
                .map(each -> each.substring(TIMEOUT.length()))
                .filter(each -> !each.isEmpty() && each.chars().allMatch(Character::isDigit))
                .map(each -> Duration.ofSeconds(Long.parseLong(each)))
                .findFirst();
    }
}
