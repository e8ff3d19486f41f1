package org.parsleydrift.node.manifest;

import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.ManifestVersion;

/** Read access to the current manifest of this node. */
public interface CurrentManifest {
    /**
     * Returns the current manifest as text with its generation.
     *
     * @return the version, or null if no manifest is known
     */
    ManifestVersion version();

    /**
     * Returns the current manifest in parsed form.
     *
     * @return the manifest, or an empty one if none is known
     */
    Manifest manifest();
}
