package org.parsleydrift.registry;

/**
 * A shared object as it stands at a revision.
 *
 * @param name its name within its kind
 * @param revision the revision of its last change; revisions of all objects share one counter
 * @param deleted whether it was removed
 * @param content what its writer put in, encoded as on the platform; empty if removed
 */
public record SharedObject(String name, long revision, boolean deleted, byte[] content) {}
