package org.parsleydrift.tools;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Summary of requests from the logs of entry processes: outcomes, queueing times and prompt tokens per second, and
 * failed requests by cause with example ids. Log lines dropped under load are not included; their number is reported.
 */
final class LogDigest {
    private static final Pattern FIELD = Pattern.compile("\\b([a-z_]+)=(\"[^\"]*\"|\\S+)");
    /** Example ids per cause. */
    private static final int EXAMPLES = 3;

    private final Map<String, Request> requests = new HashMap<>();
    private long droppedLines;

    private record Fields(Map<String, String> values) {
        static Fields of(String line) {
            Map<String, String> values = new HashMap<>();
            Matcher matcher = FIELD.matcher(line);
            while (matcher.find()) {
                values.putIfAbsent(matcher.group(1), matcher.group(2));
            }
            return new Fields(values);
        }

        String text(String name) {
            return values.getOrDefault(name, "-");
        }

        long number(String name) {
            String value = values.getOrDefault(name, "0");
            return value.chars().allMatch(Character::isDigit) ? Long.parseLong(value) : 0;
        }
    }

    /** State of one request, collected from its log lines. */
    private static final class Request {
        private final List<Long> placedAt = new ArrayList<>();
        private String id = "-";
        private String program = "-";
        private String outcome = "-";
        private String cause = "-";
        private OptionalLong endedAt = OptionalLong.empty();
        private long durationMillis;
        private long promptTokens;
        private long uncachedTokens;

        private long arrivalMillis() {
            return endedAt.orElse(0) - durationMillis;
        }

        private OptionalLong waitMillis() {
            return placedAt.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(Math.max(0, placedAt.getFirst() - arrivalMillis()));
        }

        private boolean isServed() {
            return outcome.equals("answered");
        }
    }

    LogDigest(Stream<String> lines) {
        lines.filter(line -> line.contains("event=")).map(Fields::of).forEach(this::addLine);
    }

    private void addLine(Fields line) {
        switch (line.text("event")) {
            case "request_placed" -> {
                Request request = request(line);
                request.placedAt.add(line.number("at_ms"));
                request.promptTokens = line.number("prompt");
                request.uncachedTokens += line.number("missing");
            }
            case "request_ended" -> {
                Request request = request(line);
                request.outcome = line.text("outcome");
                request.cause = line.text("cause");
                request.durationMillis = line.number("ms");
                request.endedAt = OptionalLong.of(line.number("at_ms"));
            }
            case "log_lines_left_out" -> droppedLines += line.number("count");
            default -> {
                // Other events do not concern single requests.
            }
        }
    }

    private Request request(Fields line) {
        Request request = requests.computeIfAbsent(line.text("request"), any -> new Request());
        request.id = line.text("request");
        request.program = line.text("program");
        return request;
    }

    /** Returns the lines of the report. */
    List<String> report() {
        List<Request> ended = requests.values().stream()
                .filter(each -> each.endedAt.isPresent())
                .sorted(Comparator.comparingLong(Request::arrivalMillis))
                .toList();
        long start = ended.isEmpty() ? 0 : ended.getFirst().arrivalMillis();
        List<String> out = new ArrayList<>();
        out.add(String.format(
                Locale.ROOT,
                "%d requests; %d log lines were left out under load; %s",
                ended.size(),
                droppedLines,
                refusalSummary(ended)));
        out.add(String.format(
                "%6s %7s %7s %7s %6s %8s %8s %9s %9s",
                "second", "ended", "served", "refused", "other", "wait p50", "wait p95", "prompt", "read"));
        ended.stream()
                .collect(Collectors.groupingBy(
                        each -> (each.arrivalMillis() - start) / 1000, TreeMap::new, Collectors.toList()))
                .forEach((second, some) -> out.add(formatSecond(second, some)));
        out.add("");
        out.add("not served, by cause");
        ended.stream()
                .filter(each -> !each.isServed())
                .collect(Collectors.groupingBy(each -> each.outcome + " " + each.cause))
                .entrySet()
                .stream()
                .sorted(Comparator.comparingInt(each -> -each.getValue().size()))
                .forEach(each -> out.add(formatCause(each.getKey(), each.getValue(), start)));
        return out;
    }

    private static String formatSecond(long second, List<Request> some) {
        long[] waits = some.stream()
                .map(Request::waitMillis)
                .flatMapToLong(OptionalLong::stream)
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "%6d %7d %7d %7d %6d %8d %8d %9d %9d",
                second,
                some.size(),
                some.stream().filter(Request::isServed).count(),
                some.stream().filter(each -> each.outcome.equals("refused")).count(),
                some.stream()
                        .filter(each -> !each.isServed() && !each.outcome.equals("refused"))
                        .count(),
                quantile(waits, 0.5),
                quantile(waits, 0.95),
                some.stream().mapToLong(each -> each.promptTokens).sum(),
                some.stream().mapToLong(each -> each.uncachedTokens).sum());
    }

    private static String formatCause(String cause, List<Request> some, long start) {
        long[] took =
                some.stream().mapToLong(each -> each.durationMillis).sorted().toArray();
        String examples = some.stream()
                .limit(EXAMPLES)
                .map(each -> each.id + " at " + (each.arrivalMillis() - start) + " ms")
                .collect(Collectors.joining(", "));
        return String.format(
                Locale.ROOT, "%6d %s; median after %d ms; %s", some.size(), cause, quantile(took, 0.5), examples);
    }

    /** Counts programs with a refused request, and those of them with a later request that was served. */
    private static String refusalSummary(List<Request> ended) {
        Map<String, Long> refusedAt = ended.stream()
                .filter(each -> each.outcome.equals("refused") && !each.program.equals("-"))
                .collect(Collectors.toMap(each -> each.program, Request::arrivalMillis, Math::min));
        long back = refusedAt.entrySet().stream()
                .filter(refused -> ended.stream()
                        .anyMatch(each -> each.program.equals(refused.getKey())
                                && each.isServed()
                                && each.arrivalMillis() > refused.getValue()))
                .count();
        return refusedAt.size() + " programs met a refusal, " + back + " of them were served later";
    }

    private static long quantile(long[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, sorted.length * share)];
    }
}
