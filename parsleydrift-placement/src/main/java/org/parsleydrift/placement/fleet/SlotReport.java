package org.parsleydrift.placement.fleet;

import java.util.List;
import java.util.Map;

/**
 * Complete state of a node as sent to the coordinator of a group of runners. Each report replaces the previous one.
 *
 * @param node name of the node
 * @param session start of the node's process; increases with each restart
 * @param sequence number of the report in the session
 * @param open requests that the node has at runners, by incarnation
 * @param held unused grants that the node has from any coordinator: incarnations by request id
 * @param waiting requests that wait for a slot, including those with an unused grant
 */
public record SlotReport(
        String node,
        long session,
        long sequence,
        Map<String, Integer> open,
        Map<String, String> held,
        List<SlotRequest> waiting) {
    /** Copies the collections. */
    public SlotReport {
        open = Map.copyOf(open);
        held = Map.copyOf(held);
        waiting = List.copyOf(waiting);
    }

    boolean isNewerThan(SlotReport other) {
        return session > other.session || (session == other.session && sequence > other.sequence);
    }

    boolean isWaiting(String request) {
        return waiting.stream().anyMatch(each -> each.id().equals(request));
    }
}
