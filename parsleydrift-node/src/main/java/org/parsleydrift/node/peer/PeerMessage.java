package org.parsleydrift.node.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.parsleydrift.manifest.ManifestVersion;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;

/** What nodes tell each other over their links (docs/design/links.md). */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "m")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "beat"),
    @JsonSubTypes.Type(value = PeerMessage.Probe.class, name = "probe"),
    @JsonSubTypes.Type(value = PeerMessage.ProbeAnswer.class, name = "heard"),
    @JsonSubTypes.Type(value = PeerMessage.RegistryChanged.class, name = "registry"),
    @JsonSubTypes.Type(value = PeerMessage.Forward.class, name = "fwd"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCancel.class, name = "fwdx"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardReply.class, name = "re"),
    @JsonSubTypes.Type(value = PeerMessage.ManifestOffer.class, name = "offer"),
    @JsonSubTypes.Type(value = PeerMessage.ManifestAsk.class, name = "ask")
})
public sealed interface PeerMessage {
    /**
     * I am alive.
     *
     * @param generation the manifest generation in force here
     */
    record Heartbeat(long generation) implements PeerMessage {}

    /**
     * Do you hear that node?
     *
     * @param suspect the incarnation that the sender does not hear
     */
    record Probe(String suspect) implements PeerMessage {}

    /**
     * I have heard that node lately.
     *
     * @param suspect the incarnation asked about
     */
    record ProbeAnswer(String suspect) implements PeerMessage {}

    /** Node records changed on the platform: read them now rather than at the next poll. */
    record RegistryChanged() implements PeerMessage {}

    /**
     * Serve this request.
     *
     * @param number the sender's number of it
     * @param request the request
     */
    record Forward(long number, CallerRequest request) implements PeerMessage {}

    /**
     * Nobody waits for that request any more.
     *
     * @param number the sender's number of it
     */
    record ForwardCancel(long number) implements PeerMessage {}

    /**
     * A reply to a forwarded request.
     *
     * @param number the receiver's number of the request
     * @param order counts the replies to that request from 0, so that a lost one is noticed
     * @param reply the reply
     */
    record ForwardReply(long number, long order, CallerReply reply) implements PeerMessage {}

    /**
     * The manifest in force here.
     *
     * @param version the manifest
     */
    record ManifestOffer(ManifestVersion version) implements PeerMessage {}

    /** Which manifest is in force with you? */
    record ManifestAsk() implements PeerMessage {}
}
