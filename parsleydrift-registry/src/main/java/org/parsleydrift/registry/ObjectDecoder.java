package org.parsleydrift.registry;

/** Decodes the contents of shared objects. Both methods throw StepException on invalid content. */
public interface ObjectDecoder {
    /**
     * Decodes a manifest.
     *
     * @param content encoded manifest
     * @return the manifest
     */
    RoutingManifest decodeManifest(byte[] content);

    /**
     * Decodes the entry of a runner.
     *
     * @param name name of the entry, which is the runner's id
     * @param content encoded entry
     * @return the runner
     */
    Runner decodeRunner(String name, byte[] content);
}
