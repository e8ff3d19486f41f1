package org.parsleydrift.relay;

import java.util.Locale;

/** Kinds of bytes from a runner that are not the whole response to the request that its connection serves. */
enum IrregularResponse {
    /** Response to another request; skipped. */
    OTHER_REQUEST,
    /** Bytes on a connection that serves no request. */
    UNSOLICITED,
    /** Bytes that are not HTTP. */
    MALFORMED,
    /** Head that permits more than one reading. */
    AMBIGUOUS,
    /** Body with the head of another response in it. */
    CONTAINS_HEAD,
    /** Response without length whose connection ended before the request was written. */
    INCOMPLETE,
    /** Success without request id or stamp. */
    UNAUTHENTICATED,
    /** Too many bytes of interim responses or of responses to other requests. */
    NO_RESPONSE;

    /** Returns the name for logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
