package org.parsleydrift.conversation;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
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
 * <p>After a direct request has timed out, further requests to the same address are relayed through a peer, so that an entry
 * node that is partitioned from the store VMs can still serve turns. Periodic probes are sent directly as well, to detect
 * when the path is restored.
 */
public final class ReplicaCalls {
    private static final Logger LOG = System.getLogger(ReplicaCalls.class.getName());
    /** Time between direct probes of a broken path. */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** Weight of the newest sample in the exponentially weighted mean latency. */
    private static final double LATENCY_WEIGHT = 0.1;

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
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<String, Long> brokenPathProbeNanos = new HashMap<>();
    private final Map<String, Double> meanReadNanos = new HashMap<>();
    private final Handler handler;
    private Supplier<Optional<String>> relayFinder = Optional::empty;
    private long lastCorrelation;

    /**
     * Creates an endpoint.
     *
     * @param loop the event loop that all methods are called on
     * @param frames sends the frames
     * @param ownAddress the address that replies are sent to
     * @param handler answers the requests that this endpoint receives
     */
    public ReplicaCalls(EventLoop loop, FrameSender frames, String ownAddress, Handler handler) {
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
     * Sets how to find a peer that can relay requests to the store VMs.
     *
     * @param finder returns the address of such a peer, or empty if there is none
     */
    public void setRelayFinder(Supplier<Optional<String>> finder) {
        relayFinder = finder;
    }

    /**
     * Whether the direct path to an address works as far as known.
     *
     * @param address the address of a store VM
     * @return false from a timeout of a request until the next direct reply
     */
    public boolean isReachable(String address) {
        return !brokenPathProbeNanos.containsKey(address);
    }

    /**
     * Returns the mean latency of recent reads from a store VM. Reads do not wait for the disk, so the value reflects the
     * network distance.
     *
     * @param address the address of the store VM
     * @return an exponentially weighted mean in ns; 0 if no read was answered yet
     */
    double readLatencyNanos(String address) {
        return meanReadNanos.getOrDefault(address, 0.0);
    }

    /**
     * Sends a request to a store VM.
     *
     * @param address the address of the store VM
     * @param request the request
     * @param timeout how long to wait for the reply
     * @return completes with the reply, or with a StepException on a timeout
     */
    public CompletableFuture<ReplicaReply> send(String address, ReplicaRequest request, Duration timeout) {
        long correlation = ++lastCorrelation;
        CompletableFuture<ReplicaReply> reply = new CompletableFuture<>();
        Cancellable timer = loop.schedule(timeout, () -> onTimeout(address, correlation, timeout));
        boolean isRead = request instanceof ReplicaRequest.Read;
        pending.put(
                correlation,
                new PendingRequest(reply, timer, isRead, loop.clock().nanos()));
        byte[] frame = encode(out -> {
            out.packByte(REQUEST).packLong(correlation).packString(ownAddress);
            ConversationCodec.request(out, request);
        });
        Optional<String> relay = isReachable(address) ? Optional.empty() : relayFinder.get();
        relay.ifPresent(via -> frames.send(via, encode(out -> {
            out.packByte(RELAY_REQUEST).packString(address);
            bytes(out, frame);
        })));
        if (relay.isEmpty() || isProbeDue(address)) {
            frames.send(address, frame);
        }
        return reply;
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

    private void onTimeout(String address, long correlation, Duration timeout) {
        PendingRequest expired = pending.remove(correlation);
        if (expired == null) {
            return;
        }
        if (brokenPathProbeNanos.putIfAbsent(address, loop.clock().nanos()) == null) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_broken")
                            .with("store", address)
                            .with("waited_ms", timeout.toMillis())
                            .toString());
        }
        frames.reset(address);
        expired.reply()
                .completeExceptionally(
                        new StepException(Step.COMMIT, address, "no reply within " + timeout.toMillis() + " ms"));
    }

    private boolean isProbeDue(String address) {
        long now = loop.clock().nanos();
        boolean isDue = now - brokenPathProbeNanos.getOrDefault(address, now) > PROBE_PERIOD.toNanos();
        if (isDue) {
            brokenPathProbeNanos.put(address, now);
        }
        return isDue;
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
        if (isDirect && brokenPathProbeNanos.remove(from) != null) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_restored").with("store", from).toString());
        }
        PendingRequest request = pending.remove(correlation);
        if (request != null) {
            request.timer().cancel();
            if (request.isRead()) {
                recordReadLatency(from, (double) (loop.clock().nanos() - request.sentNanos()));
            }
            request.reply().complete(ConversationCodec.reply(in));
        }
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

    private void recordReadLatency(String address, double nanos) {
        meanReadNanos.merge(address, nanos, (mean, sample) -> mean + LATENCY_WEIGHT * (sample - mean));
    }

    private record PendingRequest(
            CompletableFuture<ReplicaReply> reply, Cancellable timer, boolean isRead, long sentNanos) {}
}
