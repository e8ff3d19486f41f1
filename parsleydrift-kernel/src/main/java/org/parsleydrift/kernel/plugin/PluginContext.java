package org.parsleydrift.kernel.plugin;

import java.util.Map;

/**
 * The resources with which a plug-in creates its clients.
 *
 * @param loop the node's event loop
 * @param platformAddress the address of the platform
 * @param sharedObjects the objects shared by all plug-ins of the process, by type
 */
public record PluginContext(
        org.parsleydrift.kernel.EventLoop loop, String platformAddress, Map<Class<?>, Object> sharedObjects) {
    /**
     * Returns a shared object.
     *
     * @param type the type under which the object is registered
     * @param <T> the type of the object
     * @return the object, never null
     * @throws IllegalStateException if no object of this type is registered
     */
    public <T> T require(Class<T> type) {
        Object found = sharedObjects.get(type);
        if (found == null) {
            throw new IllegalStateException("no shared object of type " + type.getName());
        }
        return type.cast(found);
    }
}
