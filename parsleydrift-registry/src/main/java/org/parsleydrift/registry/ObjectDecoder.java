package org.parsleydrift.registry;

/** Reads the contents of shared objects. Both methods throw StepException on content that makes no sense. */
public interface ObjectDecoder {
    /**
     * Reads a manifest.
     *
     * @param content the content
     * @return the manifest
     */
    RoutingManifest decodeManifest(byte[] content);

    /**
     * Reads a runner's entry.
     *
     * @param name the entry's name, which is the runner's id
     * @param content the content
     * @return the runner
     */
    Runner decodeRunner(String name, byte[] content);
}
