package org.parsleydrift.placement.fleet;

import java.time.Duration;

/** Connects contention control of a node to the exchange of status between entry nodes. Called on its event loop. */
public interface FleetReports {
    /** The connection of a node without contention control: it reports nothing. */
    FleetReports NONE = new FleetReports() {
        @Override
        public FleetReport own() {
            return FleetReport.NONE;
        }

        @Override
        public void update(FleetReport othersTotal, Duration age) {}
    };

    /**
     * Returns what this node reports at present. Called once per period of the status frames.
     *
     * @return the report; {@link FleetReport#NONE} while there is nothing to report
     */
    FleetReport own();

    /**
     * Receives the total of all other nodes that are not timed out, with the return times as of now. Called after
     * reports have arrived or were dropped, and no more often than every 20 ms.
     *
     * @param othersTotal the total; {@link FleetReport#NONE} if no other node reports anything
     * @param age time since the oldest report contained was created; zero without reports
     */
    void update(FleetReport othersTotal, Duration age);
}
