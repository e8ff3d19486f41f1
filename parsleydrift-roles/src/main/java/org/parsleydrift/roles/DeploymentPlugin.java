package org.parsleydrift.roles;

import java.util.List;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.relay.HeaderNames;
import org.parsleydrift.wire.HttpClient;

/** How callers, runners and the platform of one deployment speak; found by the service loader. Decides nothing. */
public interface DeploymentPlugin {
    /**
     * The name that settings choose it by.
     *
     * @return the name
     */
    String name();

    /**
     * Header names.
     *
     * @return the names
     */
    HeaderNames headerNames();

    /**
     * The shared objects.
     *
     * @param client makes HTTP requests
     * @param address where they are kept
     * @return the objects
     */
    SharedObjects sharedObjects(HttpClient client, String address);

    /**
     * Reads contents of shared objects.
     *
     * @return the decoder
     */
    ObjectDecoder decoder();

    /**
     * The path at which callers ask which addresses to use.
     *
     * @return the path
     */
    String directoryPath();

    /**
     * The path at which a node tells whether it is ready.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * The answer to callers that ask which addresses to use.
     *
     * @param addresses the addresses
     * @param cacheSeconds how long to keep the answer, s
     * @return JSON
     */
    String directoryResponse(List<String> addresses, int cacheSeconds);
}
