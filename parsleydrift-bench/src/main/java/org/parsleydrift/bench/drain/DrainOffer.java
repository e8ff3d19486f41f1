package org.parsleydrift.bench.drain;

/**
 * What a draining node knows when a request reaches it.
 *
 * @param kind kind of the request
 * @param budgetMillis time that the caller still gives it, ms
 * @param leftMillis time until the node must have answered, ms
 * @param latencies latencies of requests of this kind that the node has served
 * @param readyNodes number of other nodes that are ready
 */
record DrainOffer(RequestKind kind, double budgetMillis, double leftMillis, LatencyHistory latencies, int readyNodes) {}
