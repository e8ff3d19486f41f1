package org.parsleydrift.bench.streams;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command-line options of the callers that compare each response with what its runner sent. */
final class ResponseFlags {
    private static final String ROLLING = "rolling";

    private final OptionSpec<Integer> callers;
    private final OptionSpec<Integer> grace;

    ResponseFlags(OptionParser parser) {
        callers = parser.accepts("response-callers", "callers that compare each response with what its runner sent")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        grace = parser.accepts("grace", "grace time of the processes after SIGTERM, s")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo((int) ResponseOptions.SHORT_GRACE.toSeconds());
        parser.accepts(ROLLING, "send SIGTERM to the entry processes one after the other");
    }

    ResponseOptions options(OptionSet options) {
        return new ResponseOptions(
                options.valueOf(callers), Duration.ofSeconds(options.valueOf(grace)), options.has(ROLLING));
    }
}
