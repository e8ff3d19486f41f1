package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** State of another entry node as seen by this one. Confined to the event loop of the mesh. */
final class MeshPeer {
    final NodeIdentity identity;
    private Optional<NodeState> state = Optional.empty();
    private long saidNanos;
    private OptionalLong directNanos = OptionalLong.empty();
    private boolean countsByItself;

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

    long saidNanos() {
        return saidNanos;
    }

    /** Records that a frame was received from the peer itself. */
    void spoke(long now) {
        directNanos = OptionalLong.of(now);
    }

    boolean spokeWithin(Duration span, long now) {
        return directNanos.isPresent() && now - directNanos.getAsLong() < span.toNanos();
    }

    boolean saidWithin(Duration span, long now) {
        return state.isPresent() && now - saidNanos < span.toNanos();
    }

    /** Updates the state if it is newer than the known one; returns whether its content changed. */
    boolean take(NodeState newer, long said) {
        if (state.isPresent() && said - saidNanos <= 0) {
            return false;
        }
        boolean changed = state.isEmpty() || !state.get().saysTheSame(newer);
        state = Optional.of(newer);
        saidNanos = said;
        return changed;
    }

    void forgetState() {
        state = Optional.empty();
    }

    /** Whether the usage reported by the peer itself is counted, instead of the sum of its zone. */
    boolean countsByItself() {
        return countsByItself;
    }

    void countByItself(boolean counts) {
        countsByItself = counts;
    }

    /** Combines the state relayed by the peer's hub with the usage and revisions that the peer last reported itself. */
    NodeState relayed(ZoneSummary.Member told) {
        return new NodeState(
                told.name(),
                Optional.empty(),
                state.map(NodeState::round).orElse(0),
                told.ready(),
                told.reachesStores(),
                told.reachesPlatform(),
                state.map(NodeState::known).orElse(Map.of()),
                state.map(NodeState::use).orElse(NodeUse.NONE));
    }
}
