package org.parsleydrift.bench.drain;

import java.util.List;
import java.util.stream.Stream;

/**
 * A kind of request.
 *
 * @param budgetMillis time that the caller gives the request, ms
 * @param targetMillis target latency of its route, ms
 * @param repeatable whether the caller may repeat it after an attempt whose outcome is unknown
 * @param streaming whether the response is a stream that the caller can resume
 */
record RequestKind(double budgetMillis, double targetMillis, boolean repeatable, boolean streaming) {
    /** Share of the budget that the longest work may take. */
    private static final double MAX_WORK_SHARE = 0.85;

    /** All kinds, each equally frequent. */
    static final List<RequestKind> ALL = Stream.concat(
                    Stream.of(true, false)
                            .flatMap(repeatable -> Stream.of(
                                    new RequestKind(1500, 250, repeatable, false),
                                    new RequestKind(3000, 600, repeatable, false),
                                    new RequestKind(6000, 800, repeatable, false))),
                    Stream.of(new RequestKind(6000, 800, true, true)))
            .toList();

    boolean canServe(double workMillis) {
        return workMillis <= budgetMillis * MAX_WORK_SHARE;
    }
}
