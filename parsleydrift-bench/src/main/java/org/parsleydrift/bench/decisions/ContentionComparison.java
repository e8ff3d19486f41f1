package org.parsleydrift.bench.decisions;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Compares ways to share slots between nodes under contention, at several sizes of the fleet. */
final class ContentionComparison {
    /** Numbers of entry nodes. */
    private static final List<Integer> NODES = List.of(9, 70, 360);

    private static final List<ContentionLoad> LOADS =
            List.of(ContentionLoad.of("contention", 1), ContentionLoad.of("heavy-contention", 1.3));

    private ContentionComparison() {}

    /** Prints a line with the means over the seeds for each load, number of nodes and policy. */
    static void print(int seeds) {
        LOADS.forEach(load -> NODES.forEach(nodes -> Stream.of(SlotPolicy.values())
                .forEach(policy -> System.out.println(line(load, nodes, policy, seeds)))));
    }

    private static String line(ContentionLoad load, int nodes, SlotPolicy policy, int seeds) {
        List<ContentionResult> results = LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> ContentionRun.run(policy, load, nodes, seed))
                .toList();
        return String.format(
                Locale.ROOT,
                "{\"load\":\"%s\",\"nodes\":%d,\"policy\":\"%s\",\"seeds\":%d,\"worth_mean\":%.3f,\"worth_least\":%.3f,"
                        + "\"urgent_in_time\":%.3f,\"lower_in_time\":%.3f,\"urgent_served\":%.3f,\"lower_served\":%.3f,"
                        + "\"engine_full\":%.4f,\"urgent_wait_p90_ms\":%.0f,\"lower_wait_p90_ms\":%.0f,"
                        + "\"coordinator_messages_per_s\":%.0f}",
                load.name(),
                nodes,
                policy,
                seeds,
                mean(results, ContentionResult::worth),
                results.stream().mapToDouble(ContentionResult::worth).min().orElse(0),
                mean(results, ContentionResult::urgentInTime),
                mean(results, ContentionResult::lowerInTime),
                mean(results, ContentionResult::urgentServed),
                mean(results, ContentionResult::lowerServed),
                mean(results, ContentionResult::engineFull),
                mean(results, ContentionResult::urgentWaitMillis),
                mean(results, ContentionResult::lowerWaitMillis),
                mean(results, ContentionResult::coordinatorMessages));
    }

    private static double mean(List<ContentionResult> results, ToDoubleFunction<ContentionResult> value) {
        return results.stream().mapToDouble(value).average().orElse(0);
    }
}
