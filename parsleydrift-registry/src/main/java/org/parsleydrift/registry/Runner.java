package org.parsleydrift.registry;

import java.net.InetSocketAddress;

/**
 * One incarnation of an upstream process. A restarted process has the id and address of its predecessor but none of its
 * state, and an address may be reassigned to another service. Load, health and cached prompts are therefore tracked by
 * {@link #incarnation}, not by id.
 *
 * @param id id under which the process can be addressed; kept over restarts
 * @param startMillis Unix time at which this incarnation started, ms; 0 if unknown
 * @param incarnation id of this incarnation, unique over restarts
 * @param service name of the service that it serves
 * @param address IP and port
 * @param zone its availability zone
 * @param slots number of requests that it processes concurrently
 * @param draining whether it is shutting down and must not receive new requests
 * @param softwareVersion version of its software; the empty string if unknown
 */
public record Runner(
        String id,
        long startMillis,
        String incarnation,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        String softwareVersion) {
    /**
     * Creates a runner with an unknown software version; the id of its incarnation is derived from its id and start time.
     *
     * @param id id under which the process can be addressed; kept over restarts
     * @param startMillis Unix time at which this incarnation started, ms; 0 if unknown
     * @param service name of the service that it serves
     * @param address IP and port
     * @param zone its availability zone
     * @param slots number of requests that it processes concurrently
     * @param draining whether it is shutting down and must not receive new requests
     */
    public Runner(
            String id, long startMillis, String service, String address, String zone, int slots, boolean draining) {
        this(
                id,
                startMillis,
                startMillis == 0 ? id : id + "@" + startMillis,
                service,
                address,
                zone,
                slots,
                draining,
                "");
    }

    /**
     * Creates a runner with an unknown start time and an unknown software version.
     *
     * @param id id under which the process can be addressed; kept over restarts
     * @param service name of the service that it serves
     * @param address IP and port
     * @param zone its availability zone
     * @param slots number of requests that it processes concurrently
     * @param draining whether it is shutting down and must not receive new requests
     */
    public Runner(String id, String service, String address, String zone, int slots, boolean draining) {
        this(id, 0, service, address, zone, slots, draining);
    }

    /**
     * Returns the same runner with a software version.
     *
     * @param version version of its software
     * @return the runner
     */
    public Runner withSoftwareVersion(String version) {
        return new Runner(id, startMillis, incarnation, service, address, zone, slots, draining, version);
    }

    /**
     * Returns the address to connect to.
     *
     * @return IP and port as a socket address
     */
    public InetSocketAddress socketAddress() {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Whether the runner is known to have a software version.
     *
     * @param version the version; the empty string is unknown and matches no runner
     * @return true if it has this version
     */
    public boolean hasSoftwareVersion(String version) {
        return !version.isEmpty() && softwareVersion.equals(version);
    }
}
