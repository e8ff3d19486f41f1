package org.parsleydrift.placement.fleet;

import java.util.List;

/**
 * All unused grants of a node, as sent by a coordinator. Each message replaces the previous one.
 *
 * @param coordinator name of the coordinator
 * @param node name of the receiver
 * @param session session of the node's latest report that the coordinator knows
 * @param sequence number of that report
 * @param grants the grants
 */
public record SlotGrants(String coordinator, String node, long session, long sequence, List<Grant> grants) {
    /** Copies the list. */
    public SlotGrants {
        grants = List.copyOf(grants);
    }

    /**
     * Permission to send a request to a runner.
     *
     * @param request id of the request
     * @param incarnation the runner's incarnation
     * @param validMillis time from sending this message after which the grant must not be used, ms
     */
    public record Grant(String request, String incarnation, long validMillis) {}
}
