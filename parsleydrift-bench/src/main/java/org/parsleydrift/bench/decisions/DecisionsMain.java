package org.parsleydrift.bench.decisions;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Compares placement policies over many seeds on modelled engines: {@code bin/bench decisions --help}. */
public final class DecisionsMain {
    private static final Policy LEARNED_SPEEDS = new Policy.HeldParts(true, true, 2, true);
    private static final List<Policy> SPEED_POLICIES = List.of(new Policy.HeldParts(), LEARNED_SPEEDS);
    private static final List<Policy> POLICIES = List.of(
            new Policy.RoundRobin(),
            new Policy.LeastLoaded(),
            new Policy.Sticky(),
            new Policy.OneMore(),
            new Policy.HeldParts(),
            LEARNED_SPEEDS,
            new Policy.HeldParts(false, true, 2),
            new Policy.HeldParts(true, false, 2),
            new Policy.HeldParts(true, true, 0),
            new Policy.HeldParts(true, true, 4),
            new Policy.HeldParts(true, true, 8));

    private static final double BASE_RATE = 18;

    private static final List<Double> UNEQUAL_SPEEDS = List.of(0.7, 0.7, 1.7);
    private static final EngineSpeeds UNEQUAL = new EngineSpeeds(UNEQUAL_SPEEDS, 1, 0, 0);
    private static final EngineSpeeds EPISODES = new EngineSpeeds(List.of(1.0), 2.5, 0.25, 400);
    private static final EngineSpeeds UNEQUAL_EPISODES = new EngineSpeeds(UNEQUAL_SPEEDS, 2.5, 0.25, 400);

    /** Load patterns that the policies are compared on. */
    static final List<LoadPattern> PATTERNS = List.of(
            new LoadPattern("usual", BASE_RATE, 1, 0, 0, 1),
            new LoadPattern("burst", BASE_RATE, 1.8, 6, 0, 1),
            new LoadPattern("heavy-burst", BASE_RATE, 3, 6, 0, 1),
            new LoadPattern("slow-engine", BASE_RATE, 1.2, 8, 1, 5),
            new LoadPattern("unequal", BASE_RATE, 1.2, 8, 0, 1, UNEQUAL),
            new LoadPattern("unequal-burst", BASE_RATE, 1.8, 6, 0, 1, UNEQUAL),
            new LoadPattern("episodes", BASE_RATE, 1.2, 8, 0, 1, EPISODES),
            new LoadPattern("unequal-episodes", BASE_RATE, 1.2, 8, 0, 1, UNEQUAL_EPISODES));

    private DecisionsMain() {}

    /**
     * Prints a line of JSON for each policy and pattern; exits with 2 on invalid arguments.
     *
     * @param arguments see {@code --help}
     * @throws IOException if the help can't be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> seeds = parser.accepts("seeds", "number of runs of each policy and pattern")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(20);
        OptionSpec<String> only =
                parser.accepts("pattern", "name of the only pattern to run").withRequiredArg();
        OptionSpec<Void> speeds = parser.accepts("speeds", "compare only learned speeds with none");
        OptionSpec<String> fleet = parser.accepts("fleet", "small, large or slow-prefill")
                .withRequiredArg()
                .defaultsTo("small");
        OptionSpec<Void> contention =
                parser.accepts("contention", "compare ways to share slots between nodes instead of policies");
        OptionSpec<Void> help = parser.accepts("help", "print this").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            if (options.has(contention)) {
                ContentionComparison.print(options.valueOf(seeds));
                return;
            }
            PATTERNS.stream()
                    .filter(each -> !options.has(only) || each.name().equals(options.valueOf(only)))
                    .forEach(each -> compare(
                            options.has(speeds) ? SPEED_POLICIES : POLICIES,
                            each,
                            shape(options.valueOf(fleet)),
                            options.valueOf(seeds)));
        } catch (OptionException fault) {
            System.err.println("decisions: " + fault.getMessage());
            System.exit(2);
        }
    }

    private static FleetShape shape(String name) {
        return Stream.of(FleetShape.small(), FleetShape.large(), FleetShape.slowPrefill())
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseGet(() -> {
                    System.err.println(
                            "decisions: unknown fleet '" + name + "', expected small, large or slow-prefill");
                    System.exit(2);
                    return FleetShape.small();
                });
    }

    private static void compare(List<Policy> policies, LoadPattern pattern, FleetShape shape, int seeds) {
        for (Policy policy : policies) {
            List<RunResult> results = LongStream.range(0, seeds)
                    .parallel()
                    .mapToObj(seed -> DecisionRun.run(policy, pattern, shape, seed))
                    .toList();
            double[] worth =
                    results.stream().mapToDouble(RunResult::worth).sorted().toArray();
            System.out.printf(
                    Locale.ROOT,
                    "{\"fleet\":\"%s\",\"pattern\":\"%s\",\"policy\":\"%s\",\"seeds\":%d,\"worth_mean\":%.3f,\"worth_least\":%.3f,"
                            + "\"read_share\":%.3f,\"turn_p50_ms\":%.0f,\"turn_p99_ms\":%.0f}%n",
                    shape.name(),
                    pattern.name(),
                    policy,
                    seeds,
                    mean(worth),
                    worth[0],
                    mean(results.stream().mapToDouble(RunResult::readShare).toArray()),
                    mean(results.stream()
                            .mapToDouble(RunResult::turnMedianMillis)
                            .toArray()),
                    mean(results.stream().mapToDouble(RunResult::turnP99Millis).toArray()));
        }
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return values.length == 0 ? 0 : sum / values.length;
    }
}
