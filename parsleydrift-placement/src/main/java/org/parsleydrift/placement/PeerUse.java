package org.parsleydrift.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Quota usage reported by other nodes or zones. Requests admitted by nodes that drop out of a report still count in the
 * window; without them a team could use its quota twice. The report that covers the most nodes is therefore retained
 * until another one covers as many, and decays linearly over the second half of the window.
 */
final class PeerUse {
    private final long windowNanos;
    private final Map<String, Told> told = new HashMap<>();
    private UsageReport total = UsageReport.NONE;

    PeerUse(Duration window) {
        windowNanos = window.toNanos();
    }

    private record Told(UsageReport newest, UsageReport fullest, long fullestNanos) {}

    void tell(Map<String, UsageReport> reports, long now) {
        reports.forEach((from, report) -> told.put(from, next(told.get(from), report, now)));
        told.values().removeIf(each -> each.newest().nodes() == 0 && now - each.fullestNanos() > windowNanos);
        total = told.values().stream().map(each -> believed(each, now)).reduce(UsageReport.NONE, UsageReport::plus);
    }

    /** Discards the reports of reporters whose usage others report from now on. */
    void movedFrom(Set<String> tellers) {
        told.keySet().removeAll(tellers);
    }

    /** Returns the sum over all reporters as of the last update. */
    UsageReport total() {
        return total;
    }

    private static Told next(Told former, UsageReport report, long now) {
        return former == null || report.nodes() >= former.fullest().nodes()
                ? new Told(report, report, now)
                : new Told(report, former.fullest(), former.fullestNanos());
    }

    private UsageReport believed(Told each, long now) {
        if (each.newest().equals(each.fullest())) {
            return each.newest();
        }
        double age = (double) (now - each.fullestNanos()) / windowNanos;
        // Keeps the full value for half the window, since the usage may be recent, then decays to 0 at its end.
        double left = Math.min(1, 2 * (1 - age));
        return left <= 0 ? each.newest() : each.newest().most(each.fullest().times(left));
    }
}
