package org.parsleydrift.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Quota usage reported by other nodes or zones. Requests admitted by nodes that drop out of a report, or have restarted,
 * still count in the window; without them a team could use its quota twice. The report that covers the most is therefore
 * retained until another one covers as much, and decays linearly over the second half of the window.
 */
final class PeerUsage {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long windowNanos;
    private final Map<String, ReportHistory> histories = new HashMap<>();
    private UsageReport total = UsageReport.NONE;

    PeerUsage(Duration window) {
        windowNanos = window.toNanos();
    }

    private record ReportHistory(UsageReport latest, UsageReport mostComplete, long mostCompleteNanos) {}

    void update(Map<String, UsageReport> reports, long nowNanos) {
        reports.forEach(
                (reporter, report) -> histories.put(reporter, append(histories.get(reporter), report, nowNanos)));
        histories
                .values()
                .removeIf(each -> each.latest().nodes() == 0 && nowNanos - each.mostCompleteNanos() > windowNanos);
        total = histories.values().stream()
                .map(each -> estimate(each, nowNanos))
                .reduce(UsageReport.NONE, UsageReport::plus);
    }

    /** Discards the reports of reporters whose usage others report from now on. */
    void forget(Set<String> reporters) {
        histories.keySet().removeAll(reporters);
    }

    /** Returns the sum over all reporters as of the last update. */
    UsageReport total() {
        return total;
    }

    private ReportHistory append(ReportHistory previous, UsageReport report, long nowNanos) {
        return previous == null || observedMillis(report) >= observedMillis(previous.mostComplete())
                ? new ReportHistory(report, report, nowNanos)
                : new ReportHistory(report, previous.mostComplete(), previous.mostCompleteNanos());
    }

    /** Returns the part of the window that the nodes of a report have observed, summed over the nodes, ms. */
    private long observedMillis(UsageReport report) {
        return report.nodes() * (windowNanos / NANOS_PER_MILLI) - report.unobservedMillis();
    }

    private UsageReport estimate(ReportHistory history, long nowNanos) {
        if (history.latest().equals(history.mostComplete())) {
            return history.latest();
        }
        double age = (double) (nowNanos - history.mostCompleteNanos()) / windowNanos;
        // Keeps the full value for half the window, since the usage may be recent, then decays to 0 at its end.
        double weight = Math.min(1, 2 * (1 - age));
        return weight <= 0
                ? history.latest()
                : history.latest().max(history.mostComplete().scale(weight));
    }
}
