package org.parsleydrift.kernel.plugin;

import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;

/**
 * Speaks the protocols of one kind of outside systems. Plug-ins register themselves as services of this type; settings
 * choose one by name.
 */
public interface ExternalSystemPlugin {
    /**
     * The name that settings use.
     *
     * @return a short name
     */
    String name();

    /**
     * Opens a client of the platform.
     *
     * @param context what the process offers
     * @return the client
     */
    ObjectStore newObjectStore(PluginContext context);

    /**
     * Opens a client of model engines.
     *
     * @param context what the process offers
     * @return the client
     */
    EngineClient newEngineClient(PluginContext context);

    /**
     * Opens a client of tools and plain services.
     *
     * @param context what the process offers
     * @return the client
     */
    CallClient newCallClient(PluginContext context);
}
