package org.parsleydrift.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;

/**
 * The responses that this process owes to callers: each from the last byte of its request to the last byte of the response, or
 * until the caller disconnects. Not thread-safe; confined to one event loop.
 */
public final class OwedResponses {
    private static final Logger LOG = System.getLogger(OwedResponses.class.getName());

    private final Set<OwedResponse> owed = new LinkedHashSet<>();
    private final MeterRegistry meters;

    /**
     * Creates the count, which is zero at first.
     *
     * @param meters registry for the gauge of owed responses and the counter of missing ones
     */
    public OwedResponses(MeterRegistry meters) {
        this.meters = meters;
        meters.gauge("parsleydrift.responses.owed", owed, Set::size);
    }

    void add(OwedResponse response) {
        owed.add(response);
    }

    void remove(OwedResponse response) {
        owed.remove(response);
    }

    /**
     * Returns the number of responses that are owed.
     *
     * @return number of responses
     */
    public int count() {
        return owed.size();
    }

    /**
     * Returns the number of owed responses by the stage of their requests.
     *
     * @return numbers above 0, in the order of the stages
     */
    public Map<ResponseStage, Long> countByStage() {
        return owed.stream().collect(Collectors.groupingBy(OwedResponse::stage, TreeMap::new, Collectors.counting()));
    }

    /**
     * Responds to all requests, as the process ends; first to those that wait, so that none is sent to a runner whose slot
     * the end of another request has freed.
     */
    void endAll() {
        owed.stream().sorted(Comparator.comparing(OwedResponse::stage)).toList().forEach(OwedResponse::endNow);
    }

    /** Logs and counts the responses that are owed, none of which will be complete, as the process ends now. */
    public void reportMissing() {
        owed.forEach(each -> recordMissing(each, "process ended"));
    }

    /** Logs and counts a response that will not be complete, as its connection is closed. */
    void recordMissing(OwedResponse response, String reason) {
        String stage = response.stage().label();
        LOG.log(
                Logger.Level.WARNING,
                () -> LogLine.of("response_missing")
                        .with("request", response.requestId())
                        .with("stage", stage)
                        .with("reason", reason)
                        .toString());
        Counter.builder("parsleydrift.responses.missing")
                .tag("stage", stage)
                .register(meters)
                .increment();
    }
}
