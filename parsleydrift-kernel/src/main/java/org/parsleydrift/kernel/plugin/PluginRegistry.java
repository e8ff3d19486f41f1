package org.parsleydrift.kernel.plugin;

import java.util.ServiceLoader;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Finds plug-ins with {@link ServiceLoader}. */
public final class PluginRegistry {
    private PluginRegistry() {}

    /**
     * Finds a plug-in by name.
     *
     * @param name the name of the plug-in
     * @return the plug-in
     * @throws StepException if there is no plug-in with this name
     */
    public static ExternalSystemPlugin find(String name) {
        ServiceLoader<ExternalSystemPlugin> plugins = ServiceLoader.load(ExternalSystemPlugin.class);
        return plugins.stream()
                .map(ServiceLoader.Provider::get)
                .filter(plugin -> plugin.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new StepException(
                        Step.CONFIGURE,
                        "self",
                        "no plug-in named " + name + "; available: "
                                + plugins.stream()
                                        .map(provider -> provider.get().name())
                                        .collect(Collectors.joining(", "))));
    }
}
