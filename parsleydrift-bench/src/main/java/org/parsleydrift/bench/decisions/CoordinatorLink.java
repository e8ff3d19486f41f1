package org.parsleydrift.bench.decisions;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.parsleydrift.placement.fleet.SlotCoordinator;
import org.parsleydrift.placement.fleet.SlotGrants;
import org.parsleydrift.placement.fleet.SlotLease;
import org.parsleydrift.placement.fleet.SlotReport;
import org.parsleydrift.placement.fleet.SlotRequest;
import org.parsleydrift.registry.Runner;

/** Messages between the nodes of a fleet and the coordinator of its engines. */
final class CoordinatorLink {
    private static final double MESSAGE_DELAY_MILLIS = 3;
    /** Time over which a node gathers changes for a report, ms. */
    private static final double REPORT_DELAY_MILLIS = 4;
    /** Time over which the coordinator gathers reports for a decision, ms. */
    private static final double DECISION_DELAY_MILLIS = 4;
    /** Interval of reports without a change, ms. */
    private static final double REPORT_PERIOD_MILLIS = 80;
    /** Time before the first arrival at which the coordinator starts; longer than it waits for reports, ms. */
    private static final double HEAD_START_MILLIS = 1000;

    private static final String NAME = "coordinator";

    private final VirtualTime time;
    private final SlotCoordinator coordinator;
    private final Map<String, Port> ports = new HashMap<>();
    private boolean decisionScheduled;
    private long messages;

    CoordinatorLink(VirtualTime time, List<Runner> runners, long seed) {
        this.time = time;
        long[] started = {0};
        this.coordinator = new SlotCoordinator(
                NAME,
                () -> started[0]++ == 0 ? (long) (-HEAD_START_MILLIS * 1_000_000) : time.nanos(),
                new Random(seed));
        coordinator.setRunners(runners);
    }

    /** Connection of a node to the coordinator. */
    final class Port {
        private final String name;
        private final SlotLease lease = new SlotLease(time::nanos, 1);
        private final PortState state;
        private final BiConsumer<String, String> granted;
        private boolean reportScheduled;
        private double lastReportMillis;

        /**
         * Connects a node.
         *
         * @param name name of the node
         * @param state returns what the node reports
         * @param granted receives the id of a request and the incarnation that it may be sent to
         */
        Port(String name, PortState state, BiConsumer<String, String> granted) {
            this.name = name;
            this.state = state;
            this.granted = granted;
            lease.setCoordinator(Optional.of(NAME));
            ports.put(name, this);
        }

        /** Reports a change of the node's requests. */
        void changed() {
            if (!reportScheduled) {
                reportScheduled = true;
                time.schedule(REPORT_DELAY_MILLIS, this::report);
            }
        }

        /** Reports if there was no change for some time. */
        void keepAlive() {
            if (time.millis() - lastReportMillis > REPORT_PERIOD_MILLIS) {
                changed();
            }
        }

        private void report() {
            reportScheduled = false;
            lastReportMillis = time.millis();
            messages++;
            SlotReport report =
                    new SlotReport(name, 1, lease.nextSequence(), state.open(), lease.held(), state.waiting());
            time.schedule(MESSAGE_DELAY_MILLIS, () -> receive(report));
        }

        private void receiveGrants(SlotGrants message) {
            Set<String> waiting = state.waiting().stream().map(SlotRequest::id).collect(Collectors.toSet());
            lease.receive(message, waiting);
            waiting.forEach(
                    request -> lease.use(request).ifPresent(incarnation -> granted.accept(request, incarnation)));
        }
    }

    /** What a node reports. */
    interface PortState {
        Map<String, Integer> open();

        List<SlotRequest> waiting();
    }

    /** Returns the number of reports and grants sent so far. */
    long messages() {
        return messages;
    }

    private void receive(SlotReport report) {
        coordinator.receive(report);
        if (!decisionScheduled) {
            decisionScheduled = true;
            time.schedule(DECISION_DELAY_MILLIS, this::decide);
        }
    }

    private void decide() {
        decisionScheduled = false;
        coordinator.decide().stream().filter(each -> !each.grants().isEmpty()).forEach(each -> {
            messages++;
            time.schedule(MESSAGE_DELAY_MILLIS, () -> ports.get(each.node()).receiveGrants(each));
        });
    }
}
