package org.parsleydrift.node.manifest;

import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.ManifestVersion;

/** The manifest in force on this node. */
public interface ManifestInForce {
    /**
     * The manifest with its generation.
     *
     * @return the version, or null before the first
     */
    ManifestVersion version();

    /**
     * The manifest as read.
     *
     * @return the manifest; an empty one before the first
     */
    Manifest manifest();
}
