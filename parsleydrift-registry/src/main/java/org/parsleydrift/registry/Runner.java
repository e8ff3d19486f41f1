package org.parsleydrift.registry;

/**
 * One life of an upstream process. A process may start again under its former id and address; it then holds nothing of
 * what it held before. All that is believed of a runner is therefore kept by {@link #incarnation}, never by the id alone: with the
 * id, load and warm prompts of the former life would be put down to the new one, and requests would be kept from an idle
 * runner or sent to a cold one. An address may be given to another service.
 *
 * @param id the id under which the process can be addressed
 * @param startMillis Unix time of the start of this life, ms; 0 if it is not said
 * @param incarnation the id of this life, unique over restarts
 * @param service the service it serves
 * @param address IP and port
 * @param zone its availability zone
 * @param slots requests that it works on at once
 * @param draining whether it is leaving and gets nothing new
 */
public record Runner(
        String id,
        long startMillis,
        String incarnation,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining) {
    /**
     * Makes a runner, and names its life by id and start.
     *
     * @param id the id under which the process can be addressed
     * @param startMillis Unix time of the start of this life, ms; 0 if it is not said
     * @param service the service it serves
     * @param address IP and port
     * @param zone its availability zone
     * @param slots requests that it works on at once
     * @param draining whether it is leaving and gets nothing new
     */
    public Runner(
            String id, long startMillis, String service, String address, String zone, int slots, boolean draining) {
        this(id, startMillis, startMillis == 0 ? id : id + "@" + startMillis, service, address, zone, slots, draining);
    }

    /**
     * Makes a runner whose start is not known.
     *
     * @param id the id under which the process can be addressed
     * @param service the service it serves
     * @param address IP and port
     * @param zone its availability zone
     * @param slots requests that it works on at once
     * @param draining whether it is leaving and gets nothing new
     */
    public Runner(String id, String service, String address, String zone, int slots, boolean draining) {
        this(id, 0, service, address, zone, slots, draining);
    }
}
