package org.parsleydrift.registry;

/** Retry and response semantics of the requests of a route. */
public enum CallKind {
    /** Can be executed more than once. */
    IDEMPOTENT,
    /** Executed at most once per request id. */
    NON_IDEMPOTENT,
    /** Answered with a stream of events; executed at most once unless the route is resumable. */
    STREAMING
}
