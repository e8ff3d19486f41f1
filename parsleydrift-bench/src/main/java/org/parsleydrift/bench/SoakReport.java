package org.parsleydrift.bench;

import java.util.List;
import java.util.Map;

/**
 * The result of a randomised run.
 *
 * @param seed seed of the run
 * @param programs number of programs submitted
 * @param ends number of programs by end state
 * @param faults number of injected faults by kind
 * @param calls number of tool calls that took effect
 * @param unknown number of calls with an unknown outcome
 * @param platform number of platform requests by kind
 * @param virtualSeconds duration in virtual time, s
 * @param violations descriptions of violated invariants
 */
public record SoakReport(
        long seed,
        int programs,
        Map<String, Integer> ends,
        Map<FaultKind, Integer> faults,
        long calls,
        long unknown,
        Map<String, Long> platform,
        long virtualSeconds,
        List<String> violations) {
    /**
     * Formats the report as key=value pairs, with the total number of faults.
     *
     * @return the line
     */
    public String line() {
        int injected = faults.values().stream().mapToInt(each -> each).sum();
        return "soak seed=" + seed + " programs=" + programs + " ends=" + ends + " faults=" + injected + " calls="
                + calls
                + " unknown=" + unknown + " platform=" + platform + " virtual_s=" + virtualSeconds + " violations="
                + violations.size();
    }
}
