package org.parsleydrift.kernel.platform;

/**
 * An object in the platform's object store.
 *
 * @param key the unique key
 * @param version the version, which increases with each change of the object
 * @param value the content, at most 1 MB; empty in the entries of a listing
 */
public record StoredObject(String key, long version, byte[] value) {}
