package org.parsleydrift.kernel;

/** The step of a request or of background work at which something went wrong; part of every error. */
public enum Step {
    /** Reading and checking a request. */
    PARSE,
    /** Reading settings at start. */
    CONFIGURE,
    /** Deciding whether to take new work. */
    ADMIT,
    /** Making a record durable. */
    COMMIT,
    /** Choosing a runner. */
    PLACE,
    /** A model turn on an engine. */
    TURN,
    /** A call of a tool or a plain service. */
    CALL,
    /** Passing a request to another node. */
    FORWARD,
    /** Reading, checking or changing the manifest. */
    MANIFEST,
    /** Taking over the programs of a node that is gone. */
    TAKEOVER,
    /** A request to the platform's object API. */
    PLATFORM
}
