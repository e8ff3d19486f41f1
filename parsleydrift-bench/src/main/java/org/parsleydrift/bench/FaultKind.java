package org.parsleydrift.bench;

/** The faults of randomised runs; each stands in the brief's "What fails". */
public enum FaultKind {
    /** A process dies and a new one starts on its VM. */
    NODE_KILLED,
    /** A VM pauses for longer than it takes others to seal its journal. */
    NODE_PAUSED,
    /** A node is drained and replaced. */
    NODE_DRAINED,
    /** An open connection between two nodes falls silent for good. */
    LINK_SILENT,
    /** Two nodes can't reach each other for a while. */
    LINK_CUT,
    /** One node can't reach the platform for a while. */
    PLATFORM_CUT,
    /** The platform answers nobody for a while. */
    PLATFORM_OUTAGE,
    /** The platform takes two seconds for each answer. */
    PLATFORM_SLOW,
    /** Answers of the platform are lost after changes took effect. */
    PLATFORM_ANSWERS_LOST,
    /** An engine loses all it holds. */
    ENGINE_CRASHED,
    /** An engine says that it is leaving, and comes back later. */
    ENGINE_LEAVING,
    /** Turns break off half-way. */
    ENGINE_BREAKS,
    /** A node can't reach an engine for a while. */
    ENGINE_CUT,
    /** Tools run calls and their answers are lost. */
    TOOL_ANSWERS_LOST,
    /** A tool says that it is leaving, and comes back later. */
    TOOL_LEAVING,
    /** Operators submit manifests at one moment to several nodes. */
    MANIFEST_RACE
}
