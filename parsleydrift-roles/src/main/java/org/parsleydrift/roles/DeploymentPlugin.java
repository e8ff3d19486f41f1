package org.parsleydrift.roles;

import java.util.List;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.relay.HeaderNames;
import org.parsleydrift.wire.HttpClient;

/**
 * Plug-in for the protocols of the callers, runners and platform of one deployment; loaded with the service loader.
 * Contains no decisions.
 */
public interface DeploymentPlugin {
    /**
     * Returns the name that the settings select this plug-in by.
     *
     * @return unique name
     */
    String name();

    /**
     * Returns the header names used with callers and runners.
     *
     * @return the header names
     */
    HeaderNames headerNames();

    /**
     * Creates a client of the platform's object store.
     *
     * @param client HTTP client to use
     * @param address address of the object store
     * @return the client
     */
    SharedObjects sharedObjects(HttpClient client, String address);

    /**
     * Returns the decoder for the contents of shared objects.
     *
     * @return the decoder
     */
    ObjectDecoder decoder();

    /**
     * Returns the HTTP path at which callers request the addresses of entry nodes.
     *
     * @return absolute path
     */
    String directoryPath();

    /**
     * Returns the HTTP path of the readiness check.
     *
     * @return absolute path
     */
    String readinessPath();

    /**
     * Encodes the response to callers that request the addresses of entry nodes.
     *
     * @param addresses addresses in order of preference
     * @param cacheSeconds how long callers may cache the response, s
     * @return response body, JSON
     */
    String directoryResponse(List<String> addresses, int cacheSeconds);
}
