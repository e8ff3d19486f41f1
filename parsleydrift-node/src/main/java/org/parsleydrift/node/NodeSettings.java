package org.parsleydrift.node;

import java.time.Duration;

/**
 * Identity and timings of a node.
 *
 * @param vm the VM's name, the start of its incarnations' names
 * @param zone its availability zone
 * @param http the address that callers reach it at
 * @param link the address that peers reach it at
 * @param timings how long it waits for what
 */
public record NodeSettings(String vm, String zone, String http, String link, Timings timings) {
    /**
     * How long a node waits for what.
     *
     * @param heartbeatInterval time between heartbeats to a peer
     * @param suspectTimeout silence of a peer after which others are asked about it
     * @param probeTimeout how long to wait for their answers
     * @param registryPollInterval time between reads of the node records
     * @param commitInterval least time between two journal writes
     * @param platformWritesPerSecond journal writes of the whole fleet; each node takes an equal share
     * @param platformTimeout after this time an answer of the platform counts as lost
     * @param outageThreshold a journal write unanswered for this long means that new work is refused
     * @param pauseThreshold a pause of the loop of this length makes the node check that it still owns its journal
     * @param ownerLookupTimeout a request that can't reach its owner for this long gets its final answer
     * @param answerRetention how long ended programs stay readable
     * @param ticketLifetime how long a ticket starts new work
     * @param drainTimeout the longest a drain waits for steps under way
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
         * Timings that suit nine nodes in three zones a few milliseconds apart.
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
