package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command-line options of the callers that compare each response with what its runner sent. */
final class ResponseFlags {
    private final OptionSpec<Integer> callers;
    private final OptionSpec<Integer> grace;
    private final OptionSpec<ResponseTrouble> troubles;

    ResponseFlags(OptionParser parser) {
        callers = parser.accepts("response-callers", "callers that compare each response with what its runner sent")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        grace = parser.accepts("grace", "grace time of the processes after SIGTERM, s")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo((int) ResponseOptions.SHORT_GRACE.toSeconds());
        troubles = parser.accepts("response-troubles", "what happens meanwhile: " + List.of(ResponseTrouble.values()))
                .withRequiredArg()
                .ofType(ResponseTrouble.class)
                .withValuesSeparatedBy(',');
    }

    ResponseOptions options(OptionSet options) {
        return new ResponseOptions(
                options.valueOf(callers),
                Duration.ofSeconds(options.valueOf(grace)),
                Set.copyOf(options.valuesOf(troubles)));
    }
}
