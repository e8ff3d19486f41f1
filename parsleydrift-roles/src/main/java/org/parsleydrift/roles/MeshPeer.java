package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Another entry node as this one hears of it. Confined to the mesh's loop. */
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

    /** What it said last; empty once it has been silent. */
    Optional<NodeState> state() {
        return state;
    }

    long saidNanos() {
        return saidNanos;
    }

    /** It spoke to this node itself. */
    void spoke(long now) {
        directNanos = OptionalLong.of(now);
    }

    boolean spokeWithin(Duration span, long now) {
        return directNanos.isPresent() && now - directNanos.getAsLong() < span.toNanos();
    }

    boolean saidWithin(Duration span, long now) {
        return state.isPresent() && now - saidNanos < span.toNanos();
    }

    /** Takes a state in if it is newer than what is known; gives whether it says anything else than before. */
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

    /** Whether the use that it told itself is counted, and not its zone's sum. */
    boolean countsByItself() {
        return countsByItself;
    }

    void countByItself(boolean counts) {
        countsByItself = counts;
    }

    /** Its state as its hub tells it; what it told of its use and knowledge itself is kept beside it. */
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
