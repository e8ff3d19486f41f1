package org.parsleydrift.node.caller;

/** Receives the replies to one request on the node's event loop. */
@FunctionalInterface
public interface ReplySink {
    /**
     * Receives a reply.
     *
     * @param reply the reply; a reply that is {@link CallerReply#last()} is the final one
     */
    void reply(CallerReply reply);
}
