package org.parsleydrift.manifest;

/**
 * An accepted version of the manifest.
 *
 * @param generation the generation number, which each accepted manifest increments by one
 * @param text the manifest as submitted
 */
public record ManifestVersion(long generation, String text) {}
