package org.parsleydrift.node;

import java.time.Duration;

/**
 * Identity and timings of a node.
 *
 * @param vm name of the VM, used as the prefix of incarnation names
 * @param zone availability zone
 * @param http address for callers
 * @param link address for peers
 * @param timings intervals, timeouts and rate limits
 */
public record NodeSettings(String vm, String zone, String http, String link, Timings timings) {
    /**
     * Intervals, timeouts and rate limits of a node.
     *
     * @param heartbeatInterval time between heartbeats to a peer
     * @param suspectTimeout time without a message from a peer after which it is suspected and probed through others
     * @param probeTimeout time to wait for probe answers before a suspected peer's journal is sealed
     * @param registryPollInterval time between reads of the node records
     * @param commitInterval minimum time between two journal writes
     * @param platformWritesPerSecond journal writes per second of all nodes together, split evenly among them
     * @param platformTimeout timeout of a platform request
     * @param outageThreshold new work is refused once a journal write has been unanswered for this long
     * @param pauseThreshold pause of the event loop after which the node verifies that it still owns its journal
     * @param ownerLookupTimeout time without a reachable owner after which a request is refused
     * @param answerRetention time for which ended programs stay readable
     * @param ticketLifetime time for which a ticket is accepted for new work
     * @param drainTimeout maximum time for which a drain waits for running steps
     */
    public record Timings(
            Duration heartbeatInterval,
            Duration suspectTimeout,
            Duration probeTimeout,
            Duration registryPollInterval,
            Duration commitInterval,
            int platformWritesPerSecond,
            Duration platformTimeout,
            Duration outageThreshold,
            Duration pauseThreshold,
            Duration ownerLookupTimeout,
            Duration answerRetention,
            Duration ticketLifetime,
            Duration drainTimeout) {
        /**
         * Returns the default timings, for a cluster with round-trip times of a few milliseconds between zones.
         *
         * @return the defaults
         */
        public static Timings defaults() {
            return new Timings(
                    Duration.ofMillis(300),
                    Duration.ofMillis(1500),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(50),
                    180,
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(20),
                    Duration.ofMinutes(30),
                    Duration.ofMinutes(10),
                    Duration.ofSeconds(20));
        }
    }
}
