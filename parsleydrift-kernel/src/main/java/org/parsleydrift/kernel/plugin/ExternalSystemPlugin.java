package org.parsleydrift.kernel.plugin;

import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;

/**
 * Creates clients for the protocols of the external systems: object store, model engines, tools and services.
 * Implementations are found by {@link java.util.ServiceLoader} and selected by name in the settings.
 */
public interface ExternalSystemPlugin {
    /**
     * Returns the name by which settings select this plug-in.
     *
     * @return the name, unique among the plug-ins of a process
     */
    String name();

    /**
     * Creates a client of the platform's object store.
     *
     * @param context the resources of the process
     * @return the client
     */
    ObjectStore newObjectStore(PluginContext context);

    /**
     * Creates a client of model engines.
     *
     * @param context the resources of the process
     * @return the client
     */
    EngineClient newEngineClient(PluginContext context);

    /**
     * Creates a client of tools and plain services.
     *
     * @param context the resources of the process
     * @return the client
     */
    CallClient newCallClient(PluginContext context);
}
