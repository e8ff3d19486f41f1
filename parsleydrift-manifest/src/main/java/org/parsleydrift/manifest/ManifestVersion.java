package org.parsleydrift.manifest;

/**
 * A manifest as accepted.
 *
 * @param generation grows by one with each accepted manifest
 * @param text the text as submitted
 */
public record ManifestVersion(long generation, String text) {}
