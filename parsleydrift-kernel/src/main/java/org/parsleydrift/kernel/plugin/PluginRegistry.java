package org.parsleydrift.kernel.plugin;

import java.util.ServiceLoader;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Finds plug-ins that registered themselves. */
public final class PluginRegistry {
    private PluginRegistry() {}

    /**
     * Finds a plug-in by name.
     *
     * @param name its name
     * @return the plug-in
     * @throws StepException if there is none of that name
     */
    public static ExternalSystemPlugin find(String name) {
        ServiceLoader<ExternalSystemPlugin> all = ServiceLoader.load(ExternalSystemPlugin.class);
        return all.stream()
                .map(ServiceLoader.Provider::get)
                .filter(plugin -> plugin.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new StepException(
                        Step.CONFIGURE,
                        "self",
                        "no plug-in " + name + "; there are "
                                + all.stream()
                                        .map(provider -> provider.get().name())
                                        .collect(Collectors.joining(", "))));
    }
}
