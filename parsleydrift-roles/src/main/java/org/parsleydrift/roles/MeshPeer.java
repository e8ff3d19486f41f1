package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** State of another entry node as seen by this one. Confined to the event loop of the mesh. */
final class MeshPeer {
    final NodeIdentity identity;
    private Optional<NodeState> state = Optional.empty();
    private long stateNanos;
    private OptionalLong contactNanos = OptionalLong.empty();
    private boolean countedIndividually;

    MeshPeer(NodeIdentity identity) {
        this.identity = identity;
    }

    String name() {
        return identity.name();
    }

    /** Returns the latest state of the peer; empty once it has timed out. */
    Optional<NodeState> state() {
        return state;
    }

    long stateNanos() {
        return stateNanos;
    }

    /** Records that a frame was received from the peer itself. */
    void recordContact(long now) {
        contactNanos = OptionalLong.of(now);
    }

    boolean hasContactWithin(Duration span, long now) {
        return contactNanos.isPresent() && now - contactNanos.getAsLong() < span.toNanos();
    }

    boolean hasStateWithin(Duration span, long now) {
        return state.isPresent() && now - stateNanos < span.toNanos();
    }

    /** Updates the state if it is newer than the known one; returns whether its content changed. */
    boolean updateState(NodeState newer, long newerNanos) {
        if (state.isPresent() && newerNanos - stateNanos <= 0) {
            return false;
        }
        boolean changed = state.isEmpty() || !state.get().isEquivalent(newer);
        state = Optional.of(newer);
        stateNanos = newerNanos;
        return changed;
    }

    void clearState() {
        state = Optional.empty();
    }

    /** Whether the usage reported by the peer itself is counted, instead of the sum of its zone. */
    boolean isCountedIndividually() {
        return countedIndividually;
    }

    void setCountedIndividually(boolean counted) {
        countedIndividually = counted;
    }

    /** Combines the state relayed by the peer's hub with the usage and revisions that the peer last reported itself. */
    NodeState relayedState(ZoneSummary.Member member) {
        return new NodeState(
                member.name(),
                Optional.empty(),
                state.map(NodeState::round).orElse(0),
                member.ready(),
                member.reachesStores(),
                member.reachesPlatform(),
                state.map(NodeState::freshness).orElse(Map.of()),
                state.map(NodeState::usage).orElse(NodeUsage.NONE));
    }
}
