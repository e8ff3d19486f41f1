package org.parsleydrift.kernel;

/** The processing step at which an error occurred, reported in errors and logs. */
public enum Step {
    /** Parsing and validating a request. */
    PARSE,
    /** Reading the settings at startup. */
    CONFIGURE,
    /** Admission control of new work. */
    ADMIT,
    /** Writing a record to the journal. */
    COMMIT,
    /** Placing a turn on a runner. */
    PLACE,
    /** Running a model turn on an engine. */
    TURN,
    /** Calling a tool or a plain service. */
    CALL,
    /** Forwarding a request to another node. */
    FORWARD,
    /** Reading, validating or changing the manifest. */
    MANIFEST,
    /** Taking over the programs of a stopped or failed node. */
    TAKEOVER,
    /** Sending a request to the platform's object store. */
    PLATFORM
}
