package org.parsleydrift.bench;

/** Kinds of fault that randomised runs inject. */
public enum FaultKind {
    /** A process is killed and restarted on its VM. */
    NODE_KILLED,
    /** A VM pauses, possibly for longer than it takes its peers to seal its journal. */
    NODE_PAUSED,
    /** A node is drained and replaced. */
    NODE_DRAINED,
    /** An open connection between two nodes stalls until it is replaced. */
    LINK_SILENT,
    /** The route between two nodes is temporarily cut in both directions. */
    LINK_CUT,
    /** The route from a node to the platform is temporarily cut. */
    PLATFORM_CUT,
    /** The platform is temporarily unavailable to all nodes. */
    PLATFORM_OUTAGE,
    /** The platform delays each response by almost 2 s. */
    PLATFORM_SLOW,
    /** Responses of the platform are lost after the change took effect. */
    PLATFORM_ANSWERS_LOST,
    /** An engine crashes and restarts with empty memory. */
    ENGINE_CRASHED,
    /** An engine temporarily refuses turns because it is leaving. */
    ENGINE_LEAVING,
    /** An engine aborts turns before they complete. */
    ENGINE_BREAKS,
    /** The route from a node to an engine is temporarily cut. */
    ENGINE_CUT,
    /** A tool runs calls but its responses are lost. */
    TOOL_ANSWERS_LOST,
    /** A tool temporarily refuses calls because it is leaving. */
    TOOL_LEAVING,
    /** Manifests are submitted to all live nodes concurrently. */
    MANIFEST_RACE
}
