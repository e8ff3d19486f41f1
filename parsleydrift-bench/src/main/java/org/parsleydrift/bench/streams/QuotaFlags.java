package org.parsleydrift.bench.streams;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command-line options of the callers of teams with quotas. */
final class QuotaFlags {
    private final OptionSpec<Integer> callers;
    private final OptionSpec<Integer> spreadMillis;

    QuotaFlags(OptionParser parser) {
        callers = parser.accepts("quota-callers", "callers of a team that asks for more than its quota")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        spreadMillis = parser.accepts("quota-spread-ms", "time over which they begin, ms")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
    }

    QuotaOptions options(OptionSet options) {
        return new QuotaOptions(options.valueOf(callers), Duration.ofMillis(options.valueOf(spreadMillis)));
    }
}
