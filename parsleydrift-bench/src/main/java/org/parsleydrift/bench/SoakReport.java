package org.parsleydrift.bench;

import java.util.List;
import java.util.Map;

/**
 * What a randomised run found.
 *
 * @param seed its seed
 * @param programs programs submitted
 * @param ends programs by how they ended
 * @param faults faults by kind
 * @param calls effects of tool calls
 * @param unknown calls that ended with an unknown outcome
 * @param platform calls of the platform
 * @param virtualSeconds virtual time that it took
 * @param violations what must not be; the first few in full
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
     * The report as one line of key=value pairs, faults summed.
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
