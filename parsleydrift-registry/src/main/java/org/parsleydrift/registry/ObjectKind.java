package org.parsleydrift.registry;

/** Kinds of shared objects that nodes follow. */
public enum ObjectKind {
    /** Routes and services; one object. */
    MANIFEST,
    /** Runners, by id. */
    RUNNERS,
    /** Entry nodes, by name; written by the nodes themselves. */
    NODES,
    /** The set of store VMs; one object; changed by conditional update. */
    STORE_SET,
    /** Requests of the operators to empty a store VM, by the VM's name. */
    RETIREMENTS
}
