package org.parsleydrift.bench.decisions;

/** Ways for the nodes of a fleet to share the slots of the engines. */
enum SlotPolicy {
    /** Programs in progress before new ones, then by rank; each node decides by the exchanged loads. */
    TODAY,
    /** The same slots, ordered by rank first. */
    RANK_ORDER,
    /** By rank; a node takes no more than its share of the free slots, by its backlog, until it hears of the others. */
    SHARE,
    /** A coordinator counts slots exactly and grants them to the best request waiting in the fleet. */
    COORDINATOR,
    /** By rank; requests of the lower rank leave some slots to better ones. */
    RESERVED
}
