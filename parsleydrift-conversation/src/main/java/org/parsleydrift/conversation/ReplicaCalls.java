package org.parsleydrift.conversation;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.MessagePackFrames;

/**
 * Exchanges requests and replies with store VMs over frames. Confined to one event loop. A request that times out resets
 * the connection, since an established connection may be dead while new ones can be opened.
 *
 * <p>A request that is not answered soon is sent again through a peer, within a budget per store VM. Once the peer has
 * answered first, or a direct request has timed out, the direct path counts as broken: further requests to the same address
 * are forwarded by a peer at once, so that an entry node that is partitioned from the store VMs can still serve turns.
 * Periodic probes are sent directly as well, to detect when the path is restored. Requests may arrive more than once; the
 * store VMs handle repeated reads and writes of the same records.
 */
public final class ReplicaCalls {
    private static final Logger LOG = System.getLogger(ReplicaCalls.class.getName());
    /**
     * Time without a reply after which a request is sent through a peer, and through another one after the same time again.
     * A reply usually takes a few ms; a longer time would delay turns at the beginning of a partition.
     */
    private static final Duration REPLY_PATIENCE = Duration.ofMillis(50);
    /**
     * Delay of a check from which on it is postponed once: the loop was busy or the process paused, so replies may wait to be
     * read. On a VM that is slowed down, checks would otherwise forward requests that were answered in time.
     */
    private static final Duration MAX_LOOP_DELAY = Duration.ofMillis(20);

    /**
     * Rate of the slowest path for which the timeouts of large requests and replies allow, bytes per ms; several of them may
     * share a link.
     */
    private static final int MIN_BYTES_PER_MILLI = 4096;
    /** Upper bound of what forwarding adds to the size of a frame, bytes. */
    private static final int FORWARDING_OVERHEAD_BYTES = 1024;

    private static final byte REQUEST = 1;
    private static final byte REPLY = 2;
    /** A request that the receiving peer relays to a store VM. */
    private static final byte RELAY_REQUEST = 3;
    /** A request relayed by a peer, to which the reply is returned. */
    private static final byte RELAYED_REQUEST = 4;
    /** A reply that the receiving peer relays to the requester. */
    private static final byte RELAY_REPLY = 5;
    /** A reply relayed by a peer. */
    private static final byte RELAYED_REPLY = 6;

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownAddress;
    private final Map<Long, Copy> pending = new HashMap<>();
    private final Map<String, StorePath> paths = new HashMap<>();
    private final Handler handler;
    private StoreForwarders forwarders = StoreForwarders.NONE;
    private long lastCorrelation;

    /**
     * Creates an endpoint that has no predecessor at its address.
     *
     * @param loop the event loop that all methods are called on
     * @param frames sends the frames
     * @param ownAddress the address that replies are sent to
     * @param handler answers the requests that this endpoint receives
     */
    public ReplicaCalls(EventLoop loop, FrameSender frames, String ownAddress, Handler handler) {
        this(loop, frames, ownAddress, 0, handler);
    }

    /**
     * Creates an endpoint.
     *
     * @param loop the event loop that all methods are called on
     * @param frames sends the frames
     * @param ownAddress the address that replies are sent to
     * @param processStart random number of the process, as replies to requests of its predecessor may still arrive
     * @param handler answers the requests that this endpoint receives
     */
    public ReplicaCalls(EventLoop loop, FrameSender frames, String ownAddress, long processStart, Handler handler) {
        this.lastCorrelation = processStart;
        this.loop = loop;
        this.frames = frames;
        this.ownAddress = ownAddress;
        this.handler = handler;
    }

    /** Answers received requests. */
    public interface Handler {
        /**
         * Answers a request.
         *
         * @param request the request
         * @return completes with the reply; if it fails, no reply is sent
         */
        CompletableFuture<ReplicaReply> handle(ReplicaRequest request);
    }

    /**
     * Sets how to choose the peers that forward requests to the store VMs; none by default.
     *
     * @param selector chooses the peers
     */
    public void setForwarders(StoreForwarders selector) {
        forwarders = selector;
    }

    /**
     * Whether the direct path to an address works as far as known.
     *
     * @param address the address of a store VM
     * @return false from a timeout of a request, or a reply that a peer forwarded first, until the next direct reply
     */
    public boolean isReachable(String address) {
        return !path(address).isBroken();
    }

    /**
     * Whether the direct path to an address works and has been used recently.
     *
     * @param address the address of a store VM
     * @param span the maximum time since the last direct reply
     * @return true if a direct reply was received within that time and the path is not broken
     */
    boolean isProvenReachable(String address, Duration span) {
        return path(address).isProvenWithin(span, loop.clock().nanos());
    }

    /**
     * Returns the mean latency of recent reads from a store VM. Reads do not wait for the disk, so the value reflects the
     * network distance.
     *
     * @param address the address of the store VM
     * @return an exponentially weighted mean in ns; 0 if no read was answered yet
     */
    double readLatencyNanos(String address) {
        return path(address).meanReadNanos();
    }

    /**
     * Sends a request to a store VM.
     *
     * @param address the address of the store VM
     * @param request the request
     * @param timeout how long to wait for the reply, besides the time that large frames need on the way
     * @return completes with the reply, or with a StepException on a timeout or if the request is too large to be sent
     */
    public CompletableFuture<ReplicaReply> send(String address, ReplicaRequest request, Duration timeout) {
        PendingRequest pendingRequest =
                new PendingRequest(address, request, timeout, loop.clock().nanos());
        try {
            sendFirstCopies(pendingRequest);
        } catch (FrameTooLargeException tooLarge) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("store_request_too_large")
                            .failure(tooLarge)
                            .toString());
            pendingRequest.correlations.forEach(pending::remove);
            return CompletableFuture.failedFuture(tooLarge);
        }
        scheduleCheck(pendingRequest);
        return pendingRequest.reply;
    }

    private void sendFirstCopies(PendingRequest pendingRequest) {
        String address = pendingRequest.address;
        StorePath path = path(address);
        path.recordRequest();
        Optional<String> forwarder = path.isBroken() ? forwarders.choose(address) : Optional.empty();
        forwarder.ifPresent(each -> sendThrough(pendingRequest, each));
        boolean isProbe = path.acquireProbe(loop.clock().nanos());
        if (isProbe) {
            // The established connection may be dead.
            frames.reset(address);
        }
        if (forwarder.isEmpty() || isProbe) {
            pendingRequest.sentDirectly = true;
            frames.send(address, encodeCopy(pendingRequest, Optional.empty()));
        }
    }

    /**
     * Handles a received frame.
     *
     * @param frame the bytes of the frame
     * @throws StepException if the frame is malformed or of an unknown type
     */
    public void receive(byte[] frame) {
        MessagePackFrames.decode(frame, in -> {
            byte type = in.unpackByte();
            switch (type) {
                case REQUEST -> receiveRequest(in, Optional.empty());
                case REPLY -> receiveReply(in, true);
                case RELAY_REQUEST -> relayRequest(in.unpackString(), bytes(in));
                case RELAYED_REQUEST -> receiveRelayedRequest(in.unpackString(), bytes(in));
                case RELAY_REPLY -> relayReply(in.unpackString(), bytes(in));
                case RELAYED_REPLY -> receiveRelayedReply(bytes(in));
                default -> throw new IOException("unknown frame type " + type);
            }
            return null;
        });
    }

    private StorePath path(String address) {
        return paths.computeIfAbsent(address, any -> new StorePath());
    }

    /** Encodes one copy of a request under a correlation ID of its own, which identifies the peer that a reply came through. */
    private byte[] encodeCopy(PendingRequest request, Optional<String> forwarder) {
        long correlation = ++lastCorrelation;
        request.correlations.add(correlation);
        pending.put(correlation, new Copy(request, forwarder, loop.clock().nanos()));
        byte[] copy = encode(out -> {
            out.packByte(REQUEST).packLong(correlation).packString(ownAddress);
            ConversationCodec.request(out, request.content);
        });
        int maxBytes = frames.maxFrameBytes() - FORWARDING_OVERHEAD_BYTES;
        if (copy.length > maxBytes) {
            throw new FrameTooLargeException(
                    request.address, request.content.getClass().getSimpleName(), copy.length, maxBytes);
        }
        request.allowTransferOf(copy.length + request.content.expectedReplyBytes());
        return copy;
    }

    private void sendThrough(PendingRequest request, String forwarder) {
        request.awaitedForwarder = Optional.of(forwarder);
        request.forwarded = true;
        byte[] copy = encodeCopy(request, Optional.of(forwarder));
        frames.send(forwarder, encode(out -> {
            out.packByte(RELAY_REQUEST).packString(request.address);
            bytes(out, copy);
        }));
    }

    private void scheduleCheck(PendingRequest request) {
        Duration remaining =
                Duration.ofNanos(request.deadlineNanos - loop.clock().nanos());
        Duration patience = REPLY_PATIENCE.plus(request.transferTime);
        Duration delay = patience.compareTo(remaining) < 0 ? patience : remaining;
        Duration bounded = delay.isNegative() ? Duration.ZERO : delay;
        request.checkNanos = loop.clock().nanos() + bounded.toNanos();
        request.timer = loop.schedule(bounded, () -> checkUnanswered(request));
    }

    /** Fails a request that has timed out; otherwise sends it through a peer if the budget allows it. */
    private void checkUnanswered(PendingRequest request) {
        boolean isLate = loop.clock().nanos() - request.checkNanos > MAX_LOOP_DELAY.toNanos();
        if (isLate && !request.postponed) {
            request.postponed = true;
            scheduleCheck(request);
            return;
        }
        request.postponed = false;
        request.awaitedForwarder.ifPresent(each -> forwarders.recordSilence(request.address, each));
        request.awaitedForwarder = Optional.empty();
        if (loop.clock().nanos() - request.deadlineNanos >= 0) {
            expire(request);
            return;
        }
        StorePath path = path(request.address);
        // The only forwarded copy replaces a direct one that is lost; further ones are additional load.
        forwarders
                .choose(request.address)
                .filter(any -> (path.isForwardable() && !request.forwarded) || path.acquireExtraCopy())
                .ifPresent(each -> sendThrough(request, each));
        scheduleCheck(request);
    }

    private void expire(PendingRequest request) {
        request.correlations.forEach(pending::remove);
        markBroken(request);
        if (request.sentDirectly) {
            frames.reset(request.address);
        }
        request.reply.completeExceptionally(new StepException(
                Step.COMMIT, request.address, "no reply within " + request.timeout.toMillis() + " ms"));
    }

    private void markBroken(PendingRequest request) {
        long now = loop.clock().nanos();
        if (path(request.address).markBroken(now)) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_broken")
                            .with("store", request.address)
                            .with(
                                    "waited_ms",
                                    Duration.ofNanos(now - request.startNanos).toMillis())
                            .toString());
        }
    }

    private void receiveRequest(MessageUnpacker in, Optional<String> via) throws IOException {
        long correlation = in.unpackLong();
        String from = in.unpackString();
        ReplicaRequest request = ConversationCodec.request(in);
        handler.handle(request)
                .whenComplete(
                        (reply, failure) -> loop.execute(() -> sendReply(from, via, correlation, reply, failure)));
    }

    private void receiveReply(MessageUnpacker in, boolean isDirect) throws IOException {
        long correlation = in.unpackLong();
        String from = in.unpackString();
        if (isDirect && path(from).recordDirectReply(loop.clock().nanos())) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_restored").with("store", from).toString());
        }
        Copy copy = pending.get(correlation);
        if (copy == null) {
            return;
        }
        ReplicaReply reply = ConversationCodec.reply(in);
        PendingRequest request = copy.request();
        request.correlations.forEach(pending::remove);
        request.timer.cancel();
        if (request.content instanceof ReplicaRequest.Read) {
            path(request.address).recordReadLatency((double) (loop.clock().nanos() - copy.sentNanos()));
        }
        copy.forwarder().ifPresent(each -> recordForwardedReply(request, each));
        request.reply.complete(reply);
    }

    /** A peer that answers before a direct request sent earlier proves that the direct path is broken. */
    private void recordForwardedReply(PendingRequest request, String forwarder) {
        if (request.sentDirectly) {
            markBroken(request);
        }
        path(request.address).recordForwardedReply();
        forwarders.recordAnswer(request.address, forwarder);
    }

    private void relayRequest(String to, byte[] request) {
        frames.send(to, encode(out -> {
            out.packByte(RELAYED_REQUEST).packString(ownAddress);
            bytes(out, request);
        }));
    }

    private void receiveRelayedRequest(String via, byte[] request) {
        MessagePackFrames.decode(request, in -> {
            if (in.unpackByte() == REQUEST) {
                receiveRequest(in, Optional.of(via));
            }
            return null;
        });
    }

    private void relayReply(String to, byte[] reply) {
        frames.send(to, encode(out -> {
            out.packByte(RELAYED_REPLY);
            bytes(out, reply);
        }));
    }

    private void receiveRelayedReply(byte[] reply) {
        MessagePackFrames.decode(reply, in -> {
            if (in.unpackByte() == REPLY) {
                receiveReply(in, false);
            }
            return null;
        });
    }

    private void sendReply(String to, Optional<String> via, long correlation, ReplicaReply reply, Throwable failure) {
        if (failure != null) {
            // No reply is sent; the requester times out and retries.
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("store_request_failed")
                            .with("from", to)
                            .failure(failure)
                            .toString());
            return;
        }
        byte[] frame = encode(out -> {
            out.packByte(REPLY).packLong(correlation).packString(ownAddress);
            ConversationCodec.reply(out, reply);
        });
        int maxBytes = frames.maxFrameBytes() - FORWARDING_OVERHEAD_BYTES;
        if (frame.length > maxBytes) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("store_reply_too_large")
                            .with("to", to)
                            .with("kind", reply.getClass().getSimpleName())
                            .with("bytes", frame.length)
                            .with("limit", maxBytes)
                            .toString());
            return;
        }
        if (via.isEmpty()) {
            frames.send(to, frame);
        } else {
            frames.send(via.get(), encode(out -> {
                out.packByte(RELAY_REPLY).packString(to);
                bytes(out, frame);
            }));
        }
    }

    private static byte[] encode(MessagePackFrames.Writer writer) {
        return MessagePackFrames.encode(writer);
    }

    private static void bytes(MessagePacker out, byte[] bytes) throws IOException {
        out.packBinaryHeader(bytes.length).addPayload(bytes);
    }

    private static byte[] bytes(MessageUnpacker in) throws IOException {
        return in.readPayload(in.unpackBinaryHeader());
    }

    /** One copy of a request in transit, sent directly or through a peer. */
    private record Copy(PendingRequest request, Optional<String> forwarder, long sentNanos) {}

    /** An unanswered request and the correlation IDs of its copies. */
    private static final class PendingRequest {
        private final String address;
        private final ReplicaRequest content;
        private final Duration timeout;
        private final long startNanos;
        private Duration transferTime = Duration.ZERO;
        private long deadlineNanos;
        private final CompletableFuture<ReplicaReply> reply = new CompletableFuture<>();
        private final List<Long> correlations = new ArrayList<>();
        private Optional<String> awaitedForwarder = Optional.empty();
        private boolean sentDirectly;
        private boolean forwarded;
        private boolean postponed;
        private long checkNanos;
        private Cancellable timer;

        private PendingRequest(String address, ReplicaRequest content, Duration timeout, long startNanos) {
            this.address = address;
            this.content = content;
            this.timeout = timeout;
            this.startNanos = startNanos;
            this.deadlineNanos = startNanos + timeout.toNanos();
        }

        /** Extends the timeouts by the time that the request and its reply need on the way. */
        private void allowTransferOf(int bytes) {
            transferTime = Duration.ofMillis(bytes / MIN_BYTES_PER_MILLI);
            deadlineNanos = startNanos + timeout.plus(transferTime).toNanos();
        }
    }
}
