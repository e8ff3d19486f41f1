package org.parsleydrift.placement.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Grants that a node holds from the coordinator of a group of runners. The validity of a grant counts from the time at
 * which the node sent the report that the coordinator refers to, so a grant ends here before it ends at the
 * coordinator, however long the message took. Not thread-safe; confined to one event loop.
 */
public final class SlotLease {
    /** Time without a current message from the coordinator after which the node decides by its own view. */
    static final Duration FALLBACK_DELAY = Duration.ofMillis(250);
    /** Number of sent reports whose time is remembered; older ones are too old for a valid grant. */
    private static final int MAX_REPORTS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanos;
    private final long session;
    private final Map<Long, Long> sentNanos = new LinkedHashMap<>();
    private final Map<String, Held> held = new HashMap<>();
    private Optional<String> coordinator = Optional.empty();
    private OptionalLong currentNanos = OptionalLong.empty();
    private long lastSequence;
    private long receivedSequence;

    private record Held(String incarnation, long expiresNanos) {}

    /**
     * Creates a lease without grants.
     *
     * @param nanos monotonic clock, ns
     * @param session session of this node's reports
     */
    public SlotLease(LongSupplier nanos, long session) {
        this.nanos = nanos;
        this.session = session;
    }

    /**
     * Sets the coordinator whose grants count. Grants of the previous one stay valid until they expire, and are reported
     * to the new one.
     *
     * @param name name of the coordinator; empty if there is none
     */
    public void setCoordinator(Optional<String> name) {
        if (!name.equals(coordinator)) {
            coordinator = name;
            currentNanos = OptionalLong.empty();
            receivedSequence = 0;
        }
    }

    /**
     * Records that a report is sent.
     *
     * @return number of the report
     */
    public long nextSequence() {
        lastSequence++;
        sentNanos.put(lastSequence, nanos.getAsLong());
        if (sentNanos.size() > MAX_REPORTS) {
            sentNanos.remove(sentNanos.keySet().iterator().next());
        }
        return lastSequence;
    }

    /**
     * Receives all grants of this node. A message of another coordinator, for an earlier session or in reply to a report
     * that is too old is ignored, and so is one that was overtaken by a later one.
     *
     * @param message the grants
     * @param waiting ids of the requests that wait; a grant of any other one was used before or is not needed any more
     */
    public void receive(SlotGrants message, Set<String> waiting) {
        Long sent = sentNanos.get(message.sequence());
        boolean expected = message.session() == session
                && Optional.of(message.coordinator()).equals(coordinator);
        boolean isOvertaken = message.sequence() < receivedSequence;
        if (!expected || isOvertaken || sent == null || nanos.getAsLong() - sent > FALLBACK_DELAY.toNanos()) {
            return;
        }
        receivedSequence = message.sequence();
        currentNanos = OptionalLong.of(sent);
        message.grants().stream()
                .filter(each -> waiting.contains(each.request()))
                .forEach(each -> held.merge(
                        each.request(),
                        new Held(each.incarnation(), sent + each.validMillis() * NANOS_PER_MILLI),
                        (one, two) -> two.expiresNanos() - one.expiresNanos() > 0 ? two : one));
    }

    /**
     * Uses the grant of a request.
     *
     * @param request id of the request
     * @return the runner's incarnation; empty without a valid grant
     */
    public Optional<String> use(String request) {
        removeExpired();
        return Optional.ofNullable(held.remove(request)).map(Held::incarnation);
    }

    /**
     * Gives up the grant of a request that no longer waits.
     *
     * @param request id of the request
     */
    public void release(String request) {
        held.remove(request);
    }

    /**
     * Returns the valid grants for the next report.
     *
     * @return incarnations by request id
     */
    public Map<String, String> held() {
        removeExpired();
        return held.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().incarnation()));
    }

    /**
     * Returns whether the node decides by its own view, since the coordinator does not respond.
     *
     * @return true if there is no coordinator or none of its messages refers to a recent report
     */
    public boolean isFallback() {
        return currentNanos.isEmpty() || nanos.getAsLong() - currentNanos.getAsLong() > FALLBACK_DELAY.toNanos();
    }

    private void removeExpired() {
        long now = nanos.getAsLong();
        held.values().removeIf(each -> now - each.expiresNanos() >= 0);
    }
}
