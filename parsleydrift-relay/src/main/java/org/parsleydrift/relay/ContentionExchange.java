package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.admission.ReturnSchedule;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.fleet.FleetReports;

/**
 * Exchanges the backlog and the return slots of {@link ContentionControl} with the peers. Confined to the event loop of
 * the relay.
 */
public final class ContentionExchange implements FleetReports {
    private static final Logger LOG = System.getLogger(ContentionExchange.class.getName());

    private final ContentionControl control;
    private final LongSupplier nanos;
    private FleetReport peers = FleetReport.NONE;

    /**
     * Connects the control to the reports of the peers.
     *
     * @param control control of contended services
     * @param nanos monotonic clock of the loop, ns
     */
    public ContentionExchange(ContentionControl control, LongSupplier nanos) {
        this.control = control;
        this.nanos = nanos;
        control.usePeersWaiting(service -> peers.waiting().getOrDefault(service, Map.of()));
    }

    @Override
    public FleetReport own() {
        if (!control.isActive()) {
            return FleetReport.NONE;
        }
        Map<Long, Integer> returns = control.returnSchedule().announced(nanos.getAsLong()).stream()
                .collect(Collectors.toMap(ReturnSchedule.Slot::programKey, ReturnSchedule.Slot::leftMillis, Math::min));
        return new FleetReport(control.ownWaiting(), Map.of(), returns);
    }

    @Override
    public void update(FleetReport othersTotal, Duration age) {
        peers = othersTotal;
        List<ReturnSchedule.Slot> slots = othersTotal.returnMillis().entrySet().stream()
                .map(each -> new ReturnSchedule.Slot(each.getKey(), each.getValue()))
                .toList();
        int ignored = control.returnSchedule().learn(slots, nanos.getAsLong());
        if (ignored > 0) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("return_slots_ignored")
                            .with("count", ignored)
                            .toString());
        }
    }
}
