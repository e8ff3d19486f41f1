package org.parsleydrift.registry;

/** What a route says of its requests: whether they may be repeated, and how they are answered. */
public enum CallKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each request id. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; runs at most once unless the route is resumable. */
    STREAMING
}
