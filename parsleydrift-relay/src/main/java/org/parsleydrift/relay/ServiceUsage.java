package org.parsleydrift.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.parsleydrift.placement.admission.DrainRate;
import org.parsleydrift.placement.admission.ServiceState;
import org.parsleydrift.registry.Runner;

/** Load, slots and drain rate of each service, as known to this node. */
final class ServiceUsage {
    private final Dispatcher dispatcher;
    private final Map<String, DrainRate> drainRates = new HashMap<>();
    /** Totals by service, kept until a load or the runners change; several decisions are made in between. */
    private final Map<String, Totals> totals = new HashMap<>();

    private record Totals(long version, int slots, int load, int own) {}

    ServiceUsage(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    DrainRate drainRate(String service) {
        return drainRates.computeIfAbsent(service, any -> new DrainRate());
    }

    /**
     * Returns the state of a service.
     *
     * @param service name of the service
     * @param rank rank for which the drain rate is asked
     * @param floorShare share of the assigned slots that each waiting rank gets
     * @param bestRank smallest rank that the manifest permits
     * @param ownWaiting requests waiting at this node by rank
     * @param peersWaiting requests waiting at the peers by rank
     * @param nowNanos current time, ns
     */
    ServiceState state(
            String service,
            int rank,
            double floorShare,
            int bestRank,
            Map<Integer, Integer> ownWaiting,
            Map<Integer, Integer> peersWaiting,
            long nowNanos) {
        Totals now = totals(service);
        // The request to be decided counts as this node's, so that a node without requests has a share as well.
        double ownShare = Math.min(1, (now.own() + 1.0) / (now.load() + 1.0));
        double rate = drainRate(service).slotsPerSecond(rank, floorShare, now.load(), now.slots(), nowNanos);
        return new ServiceState(now.slots(), now.load(), bestRank, ownWaiting, peersWaiting, rate, ownShare);
    }

    private Totals totals(String service) {
        RunnerLoads loads = dispatcher.loads();
        Totals known = totals.get(service);
        if (known != null && known.version() == loads.version()) {
            return known;
        }
        List<Runner> runners = dispatcher.runners(service);
        int slots = runners.stream().mapToInt(Runner::slots).sum();
        int load =
                runners.stream().mapToInt(each -> loads.at(each.incarnation())).sum();
        int own = runners.stream()
                .mapToInt(each -> loads.ownAt(each.incarnation()))
                .sum();
        Totals counted = new Totals(loads.version(), slots, load, own);
        totals.put(service, counted);
        return counted;
    }
}
