package org.parsleydrift.daemon;

import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.plugin.OutsidePlugin;
import org.parsleydrift.kernel.plugin.PluginContext;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.wire.HttpClient;

/** Meets platform, engines, tools and services over HTTP (docs/design/standins.md). */
public final class HttpOutsidePlugin implements OutsidePlugin {
    @Override
    public String name() {
        return "http";
    }

    @Override
    public ObjectStore platform(PluginContext context) {
        return new HttpObjectStore(context.require(HttpClient.class), context.platform());
    }

    @Override
    public EngineClient engines(PluginContext context) {
        return new HttpEngineClient(context.require(HttpClient.class));
    }

    @Override
    public CallClient calls(PluginContext context) {
        return new HttpCallClient(context.require(HttpClient.class));
    }
}
