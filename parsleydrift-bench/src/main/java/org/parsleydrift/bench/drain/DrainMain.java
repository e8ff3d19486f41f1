package org.parsleydrift.bench.drain;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Compares rules for what a draining node accepts, over many seeds on a model: {@code bin/bench drain --help}. */
public final class DrainMain {
    private static final List<DrainCase> CASES = DrainCase.all();
    private static final DrainRule LATENCIES = new DrainRule.TargetLatencies(4, 2);
    private static final DrainRule OBSERVED = new DrainRule.ObservedLatencies(1, 0.9, LATENCIES);
    private static final List<DrainRule> RULES = List.of(
            new DrainRule.CutAtExit(),
            new DrainRule.AcceptAll(),
            new DrainRule.WholeBudget(),
            LATENCIES,
            new DrainRule.UnrepeatableWholeBudget(2),
            OBSERVED,
            new DrainRule.RejectAll(),
            new DrainRule.UnlessAlone(new DrainRule.WholeBudget(), new DrainRule.AcceptAll(), 0),
            new DrainRule.UnlessAlone(new DrainRule.WholeBudget(), LATENCIES, 0),
            new DrainRule.UnlessAlone(new DrainRule.WholeBudget(), LATENCIES, 1000),
            new DrainRule.UnlessAlone(new DrainRule.WholeBudget(), OBSERVED, 0),
            new DrainRule.UnlessAlone(new DrainRule.RejectAll(), LATENCIES, 0));
    private static final List<DrainRule> OBSERVED_RULES = List.of(
            LATENCIES,
            new DrainRule.StreamsAsOthers(LATENCIES),
            new DrainRule.StreamsAsOthers(new DrainRule.TargetLatencies(2, 2)),
            new DrainRule.ObservedLatencies(1, 1, LATENCIES),
            OBSERVED,
            new DrainRule.ObservedLatencies(1, 0.9, new DrainRule.WholeBudget()),
            new DrainRule.ObservedLatencies(1, 0.9, new DrainRule.AcceptAll()),
            new DrainRule.ObservedLatencies(1, 0.5, LATENCIES),
            new DrainRule.ObservedLatencies(0.95, 0.95, LATENCIES),
            new DrainRule.ObservedLatencies(0.9, 0.9, LATENCIES),
            new DrainRule.ObservedLatencies(0.9, 0.5, LATENCIES));
    private static final List<DrainRule> LATENCY_RULES = List.of(
            new DrainRule.TargetLatencies(1, 1),
            new DrainRule.TargetLatencies(2, 1),
            new DrainRule.TargetLatencies(2, 2),
            new DrainRule.TargetLatencies(4, 2),
            new DrainRule.TargetLatencies(4, 4),
            new DrainRule.TargetLatencies(8, 2),
            new DrainRule.TargetLatencies(8, 4),
            new DrainRule.TargetLatencies(8, 8));

    /** Fractions of the grace time after which a node refuses connections and may end. */
    private static final double[] LISTEN_FRACTIONS = {0.2, 0.4, 0.6, 0.8};

    private static final Map<String, List<Variant>> COMPARISONS = Map.of(
            "rules", usualTimes(RULES),
            "latencies", usualTimes(LATENCY_RULES),
            "observed", usualTimes(OBSERVED_RULES),
            "times", otherTimes(List.of(new DrainRule.AcceptAll(), LATENCIES, OBSERVED)));

    private static final Map<String, Function<DrainCase, String>> GROUPS = groups();

    private static final Map<String, ToDoubleFunction<DrainResult>> FIGURES = figures();

    private DrainMain() {}

    /** A rule and the times of the drain. */
    private record Variant(DrainRule rule, DrainTimes times) {}

    /** The results of a variant: for each seed, one for each case. */
    private record Results(String rule, DrainTimes times, List<List<DrainResult>> bySeed) {}

    private static List<Variant> usualTimes(List<DrainRule> rules) {
        return rules.stream().map(each -> new Variant(each, DrainTimes.USUAL)).toList();
    }

    private static List<Variant> otherTimes(List<DrainRule> rules) {
        return rules.stream()
                .flatMap(rule -> Arrays.stream(LISTEN_FRACTIONS)
                        .mapToObj(listen -> new Variant(
                                rule,
                                new DrainTimes(
                                        DrainTimes.USUAL.graceMillis(), listen, DrainTimes.USUAL.answerFraction()))))
                .toList();
    }

    private static Map<String, Function<DrainCase, String>> groups() {
        Map<String, Function<DrainCase, String>> groups = new LinkedHashMap<>();
        groups.put("all", each -> "all");
        groups.put("ready", DrainCase::readiness);
        groups.put("ready-work", each -> each.readiness() + ", " + each.work());
        groups.put("ready-load", each -> each.readiness() + (each.full() ? ", full" : ", light"));
        groups.put(
                "ready-roll",
                each -> each.readiness() + ", " + each.nodes() + " nodes, "
                        + each.roll().name());
        groups.put("work", DrainCase::work);
        groups.put("roll", each -> each.roll().name());
        groups.put("nodes", each -> each.nodes() + " nodes");
        groups.put("lost", each -> each.lostShare() == 0 ? "no response lost" : "responses lost");
        groups.put("load", each -> each.full() ? "full" : "light");
        groups.put("case", DrainCase::toString);
        return groups;
    }

    private static Map<String, ToDoubleFunction<DrainResult>> figures() {
        Map<String, ToDoubleFunction<DrainResult>> figures = new LinkedHashMap<>();
        figures.put("in_time", DrainResult::inTime);
        figures.put("late", DrainResult::late);
        figures.put("failed", DrainResult::failed);
        figures.put("failed_unknown", DrainResult::failedUnknown);
        figures.put("cut", DrainResult::cut);
        figures.put("unknown_at_end", DrainResult::unknown);
        figures.put("timed_out", DrainResult::timedOut);
        figures.put("interrupted", DrainResult::interrupted);
        figures.put("rejected", DrainResult::rejected);
        figures.put("rejected_in_time", DrainResult::rejectedInTime);
        figures.put("rejected_late", DrainResult::rejectedLate);
        figures.put("rejected_failed", DrainResult::rejectedFailed);
        figures.put("full", DrainResult::full);
        figures.put("refused", DrainResult::refused);
        figures.put("drain_ms", DrainResult::drainMillis);
        figures.put("longest_drain_ms", DrainResult::longestDrainMillis);
        figures.put("wasted_ms", DrainResult::wastedMillis);
        return figures;
    }

    /**
     * Prints a line of JSON for each rule and group of cases, with means and standard deviations over the seeds; exits with 2 on invalid arguments.
     *
     * @param arguments see {@code --help}
     * @throws IOException if the help can't be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> seeds = parser.accepts("seeds", "number of runs of each rule and case")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(20);
        OptionSpec<String> groups = parser.accepts("groups", "average by these of " + GROUPS.keySet())
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .defaultsTo("ready");
        OptionSpec<String> comparison = parser.accepts("compare", "one of " + COMPARISONS.keySet())
                .withRequiredArg()
                .defaultsTo("rules");
        OptionSpec<Void> help = parser.accepts("help", "print this").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            List<Variant> variants = COMPARISONS.get(options.valueOf(comparison));
            if (variants == null || !GROUPS.keySet().containsAll(options.valuesOf(groups))) {
                System.err.println("drain: unknown comparison or group, see --help");
                System.exit(2);
                return;
            }
            compare(variants, options.valuesOf(groups), options.valueOf(seeds));
        } catch (OptionException fault) {
            System.err.println("drain: " + fault.getMessage());
            System.exit(2);
        }
    }

    private static void compare(List<Variant> variants, List<String> groups, int seeds) {
        Results control = run("no drain", Optional.empty(), DrainTimes.USUAL, seeds);
        groups.forEach(each -> print(control, control, GROUPS.get(each)));
        for (Variant each : variants) {
            Results results = run(each.rule().toString(), Optional.of(each.rule()), each.times(), seeds);
            groups.forEach(group -> print(results, control, GROUPS.get(group)));
        }
    }

    private static Results run(String name, Optional<DrainRule> rule, DrainTimes times, int seeds) {
        return new Results(
                name,
                times,
                LongStream.range(0, seeds)
                        .parallel()
                        .mapToObj(seed -> CASES.stream()
                                .map(each -> DrainRun.run(rule, times, each, seed))
                                .toList())
                        .toList());
    }

    private static void print(Results results, Results control, Function<DrainCase, String> key) {
        Map<String, List<Integer>> groups = IntStream.range(0, CASES.size())
                .boxed()
                .collect(Collectors.groupingBy(
                        each -> key.apply(CASES.get(each)), LinkedHashMap::new, Collectors.toList()));
        groups.forEach((name, cases) -> {
            double[] failed = means(results, cases, DrainResult::failed);
            double[] unavoidable = means(control, cases, DrainResult::failed);
            String figures = Stream.concat(
                            Stream.of(figure(
                                    "extra_failed",
                                    IntStream.range(0, failed.length)
                                            .mapToDouble(each -> failed[each] - unavoidable[each])
                                            .toArray())),
                            FIGURES.entrySet().stream()
                                    .map(each -> figure(each.getKey(), means(results, cases, each.getValue()))))
                    .collect(Collectors.joining(","));
            System.out.printf(
                    Locale.ROOT,
                    "{\"group\":\"%s\",\"cases\":%d,\"listen\":%.2f,\"rule\":\"%s\",\"seeds\":%d,%s}%n",
                    name,
                    cases.size(),
                    results.times().listenFraction(),
                    results.rule(),
                    failed.length,
                    figures);
        });
    }

    /** Returns the mean of a figure over the cases, for each seed. */
    private static double[] means(Results results, List<Integer> cases, ToDoubleFunction<DrainResult> figure) {
        return results.bySeed().stream()
                .mapToDouble(bySeed -> cases.stream()
                        .map(bySeed::get)
                        .mapToDouble(figure)
                        .average()
                        .orElse(0))
                .toArray();
    }

    /** Returns the mean of a figure and its standard deviation over the seeds. */
    private static String figure(String name, double[] bySeed) {
        double mean = Arrays.stream(bySeed).average().orElse(0);
        double variance = Arrays.stream(bySeed)
                .map(each -> Math.pow(each - mean, 2))
                .average()
                .orElse(0);
        return String.format(Locale.ROOT, "\"%s\":[%.1f,%.1f]", name, mean, Math.sqrt(variance));
    }
}
