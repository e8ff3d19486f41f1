package org.parsleydrift.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.SystemClock;

/** Command-line entry point of randomised runs: {@code bin/soak --seed N --programs N}. */
public final class SoakMain {
    private static final int EXIT_USAGE = 2;
    private static final int PROGRAMS_PER_RUN = 2000;
    private static final int MAX_PRINTED_VIOLATIONS = 20;

    private SoakMain() {}

    /**
     * Prints one line per run and a total; exits with 1 if an invariant was violated, with 2 on invalid arguments.
     *
     * @param arguments see {@code --help}
     * @throws IOException if the help can't be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed = parser.accepts("seed", "seed of the first run")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        OptionSpec<Integer> programs = parser.accepts("programs", "total number of programs")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(PROGRAMS_PER_RUN);
        OptionSpec<String> kinds = parser.accepts("faults", "comma-separated kinds of fault, or none; all by default")
                .withRequiredArg();
        parser.accepts("help", "print this").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException fault) {
            System.err.println("soak: " + fault.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        System.exit(run(options.valueOf(seed), options.valueOf(programs), faults(options.valueOf(kinds))));
    }

    private static int run(long seed, int programs, Set<FaultKind> faults) {
        long violations = 0;
        long calls = 0;
        long injected = 0;
        RuntimeClock clock = new SystemClock();
        long startNanos = clock.nanos();
        for (int done = 0, round = 0; done < programs; done += PROGRAMS_PER_RUN, round++) {
            int size = Math.min(PROGRAMS_PER_RUN, programs - done);
            SoakReport report = new Soak(new SoakOptions(seed + round, 5, size, 50, faults)).run();
            System.out.println(report.line() + " by_kind=" + report.faults());
            report.violations().stream()
                    .limit(MAX_PRINTED_VIOLATIONS)
                    .forEach(each -> System.out.println("  violation " + each));
            violations += report.violations().size();
            calls += report.calls();
            injected += report.faults().values().stream().mapToInt(each -> each).sum();
        }
        System.out.println("soak total programs=" + programs + " calls=" + calls + " faults=" + injected
                + " violations=" + violations + " wall_s="
                + Duration.ofNanos(clock.nanos() - startNanos).toSeconds());
        return violations == 0 ? 0 : 1;
    }

    private static Set<FaultKind> faults(String names) {
        if (names == null) {
            return EnumSet.allOf(FaultKind.class);
        }
        return "none".equals(names)
                ? EnumSet.noneOf(FaultKind.class)
                : Arrays.stream(names.split(",", -1)).map(FaultKind::valueOf).collect(Collectors.toSet());
    }
}
