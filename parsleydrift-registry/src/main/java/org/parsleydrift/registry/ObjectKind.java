package org.parsleydrift.registry;

/** Kinds of shared objects. */
public enum ObjectKind {
    /** Routes and services; a single object. */
    MANIFEST,
    /** Runners, by id. */
    RUNNERS,
    /** Entry nodes, by name; each node writes its own entry. */
    NODES,
    /** Members of the store; a single object, changed by conditional updates. */
    STORE_SET,
    /** Operators' requests to retire a store VM, by the VM's name. */
    RETIREMENTS
}
