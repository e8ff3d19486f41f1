package org.parsleydrift.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The use of allotments at other nodes, by who told it. When nodes drop out of a report, since they died, were cut off or
 * another hub sums up their zone, what they let pass still counts in the window; forgotten at once, a team at its limit could
 * have its allotment twice. So the fullest report holds on, falling in the second half of a window, until as many nodes are in it again.
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

    /** Forgets what some told: it is told by others from now on. */
    void movedFrom(Set<String> tellers) {
        told.keySet().removeAll(tellers);
    }

    /** The use at all other nodes that was told. */
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
        // Much of it may be from the last moment; after a whole window none is left.
        double left = Math.min(1, 2 * (1 - age));
        return left <= 0 ? each.newest() : each.newest().most(each.fullest().times(left));
    }
}
