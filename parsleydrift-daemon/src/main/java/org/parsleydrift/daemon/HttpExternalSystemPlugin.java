package org.parsleydrift.daemon;

import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.plugin.ExternalSystemPlugin;
import org.parsleydrift.kernel.plugin.PluginContext;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.wire.HttpClient;

/** Connects to the platform, engines, tools and services over HTTP (docs/design/standins.md). */
public final class HttpExternalSystemPlugin implements ExternalSystemPlugin {
    @Override
    public String name() {
        return "http";
    }

    @Override
    public ObjectStore newObjectStore(PluginContext context) {
        return new HttpObjectStore(context.require(HttpClient.class), context.platformAddress());
    }

    @Override
    public EngineClient newEngineClient(PluginContext context) {
        return new HttpEngineClient(context.require(HttpClient.class));
    }

    @Override
    public CallClient newCallClient(PluginContext context) {
        return new HttpCallClient(context.require(HttpClient.class));
    }
}
