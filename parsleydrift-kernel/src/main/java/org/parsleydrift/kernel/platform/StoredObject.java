package org.parsleydrift.kernel.platform;

/**
 * An object as the platform holds it.
 *
 * @param key its name
 * @param version grows with each change of the object
 * @param value its bytes, at most 1 MB; empty in the rows of a list
 */
public record StoredObject(String key, long version, byte[] value) {}
