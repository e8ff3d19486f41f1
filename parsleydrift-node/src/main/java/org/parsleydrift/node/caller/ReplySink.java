package org.parsleydrift.node.caller;

/** Receives the replies to one request, on the node's loop. */
@FunctionalInterface
public interface ReplySink {
    /**
     * Takes a reply.
     *
     * @param reply the reply; nothing follows one that is {@link CallerReply#last()}
     */
    void reply(CallerReply reply);
}
