package org.parsleydrift.kernel.plugin;

import java.util.Map;

/**
 * What a plug-in is given to open its client.
 *
 * @param loop the node's loop
 * @param platformAddress the platform's address
 * @param sharedObjects things that plug-ins of one process share, by type
 */
public record PluginContext(
        org.parsleydrift.kernel.EventLoop loop, String platformAddress, Map<Class<?>, Object> sharedObjects) {
    /**
     * Finds a shared thing.
     *
     * @param type its type
     * @param <T> its type
     * @return the thing
     * @throws IllegalStateException if the process has none
     */
    public <T> T require(Class<T> type) {
        Object found = sharedObjects.get(type);
        if (found == null) {
            throw new IllegalStateException("no shared " + type.getName());
        }
        return type.cast(found);
    }
}
