package org.parsleydrift.tools;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Log lines of several processes that concern one request or program, ordered by time: lines with its id, lines about
 * the runners it was placed on, and state changes of the processes involved shortly before and during it.
 */
final class LogTrace {
    /** State changes this long before the first line are included; longer than a request waits for a runner. */
    private static final long LOOKBACK_MILLIS = 2000;

    private static final Pattern TIMESTAMP = Pattern.compile("\\bat_ms=(\\d+)");
    private static final Pattern RUNNER = Pattern.compile("\\brunner=(\\S+)");
    private static final Pattern STATE_CHANGE =
            Pattern.compile("\\bevent=(role_|drain_|platform_|manifest_|history_|store_|retirement_|"
                    + "peer_silent|link_silent|settings_|log_lines_|loop_task_failed|disk_)");

    private static final Pattern STORE_CHANGE = Pattern.compile("\\bevent=(store_(opened|set_|complete)|retirement_)");

    private final List<Line> lines;

    /**
     * A log line.
     *
     * @param source file name of the log
     * @param text the line without its terminator
     */
    record Line(String source, String text) {
        OptionalLong atMillis() {
            Matcher matcher = TIMESTAMP.matcher(text);
            return matcher.find() ? OptionalLong.of(Long.parseLong(matcher.group(1))) : OptionalLong.empty();
        }
    }

    LogTrace(List<Line> lines) {
        this.lines = List.copyOf(lines);
    }

    /** Returns the lines that concern an id; empty if no line contains it. */
    List<Line> of(String id) {
        Pattern named = Pattern.compile("=" + Pattern.quote(id) + "(?=\\s|$)");
        List<Line> matching =
                lines.stream().filter(line -> named.matcher(line.text()).find()).toList();
        if (matching.isEmpty()) {
            return List.of();
        }
        Set<String> runners = matching.stream()
                .map(line -> RUNNER.matcher(line.text()))
                .filter(Matcher::find)
                .map(matcher -> matcher.group(1))
                .collect(Collectors.toSet());
        Set<String> sources = matching.stream().map(Line::source).collect(Collectors.toSet());
        long first = millis(matching).min().orElse(Long.MIN_VALUE);
        long last = millis(matching).max().orElse(Long.MAX_VALUE);
        Stream<Line> related = lines.stream()
                .filter(line -> !matching.contains(line))
                .filter(line -> within(line, first - LOOKBACK_MILLIS, last))
                .filter(line -> concernsRunner(line, runners)
                        || STORE_CHANGE.matcher(line.text()).find()
                        || (sources.contains(line.source())
                                && STATE_CHANGE.matcher(line.text()).find()));
        return Stream.concat(matching.stream(), related)
                .sorted(Comparator.comparingLong(line -> line.atMillis().orElse(Long.MAX_VALUE)))
                .toList();
    }

    private static LongStream millis(List<Line> some) {
        return some.stream().map(Line::atMillis).flatMapToLong(OptionalLong::stream);
    }

    private static boolean within(Line line, long from, long to) {
        OptionalLong at = line.atMillis();
        return at.isPresent() && at.getAsLong() >= from && at.getAsLong() <= to;
    }

    private static boolean concernsRunner(Line line, Set<String> runners) {
        Matcher matcher = RUNNER.matcher(line.text());
        return line.text().contains("event=runner_") && matcher.find() && runners.contains(matcher.group(1));
    }
}
