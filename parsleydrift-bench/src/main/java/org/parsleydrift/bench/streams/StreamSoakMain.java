package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command-line entry point of randomised runs of processes: {@code bin/stream-soak --seed N --runs N}. */
public final class StreamSoakMain {
    private static final int EXIT_USAGE = 2;
    private static final int MAX_PRINTED_VIOLATIONS = 20;
    /** Limits of one run, which loads the machine that it runs on. */
    private static final int MAX_ENTRIES = 120;

    private static final int MAX_SECONDS = 300;

    private StreamSoakMain() {}

    /**
     * Prints one line per run; exits with 1 if an invariant was violated, with 2 on invalid arguments.
     *
     * @param arguments see {@code --help}
     * @throws IOException if a process cannot be started or the help cannot be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed = parser.accepts("seed", "seed of the first run")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        OptionSpec<Integer> runs = integer(parser, "runs", "number of runs", 1);
        OptionSpec<Integer> seconds = integer(parser, "seconds", "duration of a run, at most " + MAX_SECONDS, 25);
        OptionSpec<Integer> entries = integer(parser, "entries", "entry processes, at most " + MAX_ENTRIES, 5);
        OptionSpec<Integer> runners = integer(parser, "runners", "runners at the start", 9);
        OptionSpec<Integer> callers = integer(parser, "callers", "concurrent callers", 24);
        OptionSpec<Integer> endingCallers =
                integer(parser, "ending-callers", "callers whose requests end their runners", 0);
        OptionSpec<RunnerEnd> runnerEnds = runnerEnds(parser);
        OptionSpec<Integer> chainCallers = integer(parser, "chain-callers", "callers of stored conversations", 0);
        OptionSpec<Integer> chainInputBytes = chainInputBytes(parser);
        ResponseFlags responses = new ResponseFlags(parser);
        QuotaFlags quotas = new QuotaFlags(parser);
        acceptDisturbances(parser);
        OptionSpec<String> former = formerClassPath(parser);
        OptionSpec<String> folder = folder(parser);
        parser.accepts("help", "print this").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException fault) {
            exitOnUsage(fault.getMessage());
            return;
        }
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        if (options.valueOf(seconds) > MAX_SECONDS || options.valueOf(entries) > MAX_ENTRIES) {
            exitOnUsage("at most " + MAX_SECONDS + " s and " + MAX_ENTRIES + " entry processes");
            return;
        }
        int violations = 0;
        for (int run = 0; run < options.valueOf(runs); run++) {
            StreamSoakOptions one = new StreamSoakOptions(
                    options.valueOf(seed) + run,
                    options.valueOf(entries),
                    options.valueOf(runners),
                    options.valueOf(callers),
                    options.valueOf(endingCallers),
                    options.valuesOf(runnerEnds),
                    options.valueOf(chainCallers),
                    options.valueOf(chainInputBytes),
                    !options.has("undisturbed"),
                    options.has("entry-kills"),
                    options.has("rejoining"),
                    Duration.ofSeconds(options.valueOf(seconds)),
                    Optional.ofNullable(options.valueOf(former)),
                    responses.options(options),
                    quotas.options(options));
            violations += run(one, Path.of(options.valueOf(folder)).toAbsolutePath());
        }
        System.exit(violations == 0 ? 0 : 1);
    }

    private static OptionSpec<Integer> chainInputBytes(OptionParser parser) {
        return integer(
                parser, "chain-input-bytes", "size of the inputs of the first two callers of stored conversations", 0);
    }

    private static OptionSpec<String> formerClassPath(OptionParser parser) {
        return parser.accepts("former-class-path", "class path of an earlier version, as which the processes start")
                .withRequiredArg();
    }

    private static OptionSpec<String> folder(OptionParser parser) {
        return parser.accepts("folder", "where settings, logs and data of the runs go")
                .withRequiredArg()
                .defaultsTo("target/stream-soak");
    }

    private static void exitOnUsage(String message) {
        System.err.println("stream-soak: " + message);
        System.exit(EXIT_USAGE);
    }

    private static void acceptDisturbances(OptionParser parser) {
        parser.accepts("undisturbed", "disturb neither processes nor runners nor the platform");
        parser.accepts("entry-kills", "kill all entry processes at once, in series of three");
        parser.accepts("rejoining", "kill all entry processes during upgrades of the runners");
    }

    private static OptionSpec<RunnerEnd> runnerEnds(OptionParser parser) {
        return parser.accepts("runner-ends", "how runners end under these requests: " + List.of(RunnerEnd.values()))
                .withRequiredArg()
                .ofType(RunnerEnd.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(RunnerEnd.RESET);
    }

    private static OptionSpec<Integer> integer(OptionParser parser, String name, String description, int value) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    private static int run(StreamSoakOptions options, Path folder) throws IOException {
        Files.createDirectories(folder);
        Path own = Files.createTempDirectory(folder, "seed" + options.seed() + "-");
        StreamSoakReport report = new StreamSoak(options).run(own);
        List<String> violations = report.violations();
        System.out.println("stream-soak seed=" + options.seed() + " entries=" + options.entries() + " violations="
                + violations.size() + " " + report);
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(each -> System.out.println("  violation " + each));
        report.notes().forEach(each -> System.out.println("  note " + each));
        return violations.size();
    }
}
