package org.parsleydrift.registry;

/**
 * State of a shared object at a revision.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change; all objects share one counter
 * @param deleted whether it has been removed
 * @param content content in the platform's encoding; empty if removed
 */
public record SharedObject(String name, long revision, boolean deleted, byte[] content) {}
