package org.parsleydrift.registry;

/**
 * One life of an upstream process. A restart has another id, and an address may be given to another service.
 *
 * @param id the id of this life
 * @param service the service it serves
 * @param address IP and port
 * @param zone its availability zone
 * @param slots requests that it works on at once
 * @param draining whether it is leaving and gets nothing new
 */
public record Runner(String id, String service, String address, String zone, int slots, boolean draining) {}
