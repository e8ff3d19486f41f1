package org.parsleydrift.roles;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.SharedObject;

/** Local copy of one kind of shared objects, updated from the platform and from peers. */
interface WatchedKind {
    /** Returns the revision up to which the copy is complete; 0 before the first list. */
    long asOf();

    /** Returns the revision of the latest known change; 0 before the first list. */
    long latestRevision();

    List<SharedObject> present();

    /** Detects an outage of the platform, and requests changes if the staleness has reached a limit. */
    void checkIfStale(Duration maxStaleness);

    /** Returns the time since the copy was known to be complete. */
    Duration staleness();

    /** Whether the latest request of this node to the platform was answered. */
    boolean isPlatformReachable();

    /** Returns the time since the latest answered request of this node was sent; empty before the first answer. */
    Optional<Duration> ownStaleness();

    /** Records that the copy is complete as of a time (ns), because a peer whose copy is no newer got an answer. */
    void recordCompleteAt(long nanos);

    /** Enables or disables watching the platform; without a watch, changes come from peers. */
    void setWatching(boolean enabled);

    /** Sets the receiver of changes, from the platform and from peers alike. */
    void setChangeListener(Consumer<List<SharedObject>> listener);

    /** Applies the complete list of a peer, which is complete as of a time (ns). */
    void applyList(ObjectChanges list, long latestRevision, long completeNanos);

    /** Applies the changes of a peer that follow this node's latest known change; complete as of a time (ns). */
    void applyChanges(ObjectChanges changes, long latestRevision, long completeNanos);
}
