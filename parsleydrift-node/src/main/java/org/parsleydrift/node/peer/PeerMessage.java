package org.parsleydrift.node.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.parsleydrift.manifest.ManifestVersion;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;

/** Message between nodes (docs/design/links.md). */
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
     * Heartbeat.
     *
     * @param generation the sender's current manifest generation
     */
    record Heartbeat(long generation) implements PeerMessage {}

    /**
     * Asks whether the receiver considers a suspected node alive.
     *
     * @param suspect the suspected incarnation
     */
    record Probe(String suspect) implements PeerMessage {}

    /**
     * Confirms that the sender has recently received a message from a suspected node. There is no negative answer.
     *
     * @param suspect the suspected incarnation
     */
    record ProbeAnswer(String suspect) implements PeerMessage {}

    /** Announces that node records changed on the platform, so that the receiver reads them before its next poll. */
    record RegistryChanged() implements PeerMessage {}

    /**
     * Forwards a caller's request to the owner of its program.
     *
     * @param number the sender's number for the request
     * @param request the request
     */
    record Forward(long number, CallerRequest request) implements PeerMessage {}

    /**
     * Cancels a forwarded request.
     *
     * @param number the sender's number for the request
     */
    record ForwardCancel(long number) implements PeerMessage {}

    /**
     * Reply to a forwarded request.
     *
     * @param number the receiver's number for the request
     * @param order sequence number of the reply within its request, from 0, for the detection of lost replies
     * @param reply the reply
     */
    record ForwardReply(long number, long order, CallerReply reply) implements PeerMessage {}

    /**
     * Sends the sender's current manifest.
     *
     * @param version the manifest
     */
    record ManifestOffer(ManifestVersion version) implements PeerMessage {}

    /** Requests the receiver's current manifest. */
    record ManifestAsk() implements PeerMessage {}
}
