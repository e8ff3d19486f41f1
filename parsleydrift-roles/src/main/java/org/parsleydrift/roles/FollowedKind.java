package org.parsleydrift.roles;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.SharedObject;

/** A kind of shared objects that a node follows at the platform, and knows of from peers. */
interface FollowedKind {
    /** The revision up to which this node's knowledge is complete. */
    long asOf();

    /** The revision of the newest change that it knows. */
    long newestChange();

    List<SharedObject> present();

    /** Notices a silence of the platform, and asks it for changes if the knowledge is as old as this. */
    void lookAtAge(Duration checkAfter);

    /** Time since the moment up to which this node's knowledge is complete. */
    Duration age();

    /** Whether the platform answers this node. */
    boolean answered();

    /** Time since this node's newest call was asked that the platform has answered; empty before the first. */
    Optional<Duration> answeredAge();

    /** A peer that knows no more was complete up to a moment, and so is this node. */
    void completeAt(long nanos);

    /** Has this node watch the platform, or leaves that to peers. */
    void follow(boolean watches);

    /** Says who is told of news, whatever way they came. */
    void onNews(Consumer<List<SharedObject>> taker);

    /** Takes in a peer's full list, complete up to a moment. */
    void learn(ObjectChanges list, long newestChange, long completeNanos);

    /** Takes in a peer's changes since the newest one that this node knows, complete up to a moment. */
    void learnChanges(ObjectChanges changes, long newestChange, long completeNanos);
}
