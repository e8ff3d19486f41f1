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
 * Requests to store VMs and their replies, over frames. Confined to one loop. A request without a reply in its time
 * fails and resets the connection, since a connection may go silent for good while new ones work.
 *
 * <p>An entry node may be cut off from the store VMs while its peers reach them: its callers' turns would all be refused.
 * After a request without a reply the next ones go by way of a peer, and now and then one goes directly as well, to find
 * out whether the path is whole again.
 */
public final class ReplicaCalls {
    private static final Logger LOG = System.getLogger(ReplicaCalls.class.getName());
    /** How often a path that gave no reply is tried again beside the way over a peer. */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** Weight of the newest latency in the running mean: some ten reads settle it. */
    private static final double LATENCY_WEIGHT = 0.1;

    private static final byte REQUEST = 1;
    private static final byte REPLY = 2;
    /** Asks a peer to hand a request on to a store VM. */
    private static final byte HAND_ON = 3;
    /** A request that came over a peer; the reply goes back the same way. */
    private static final byte HANDED_ON = 4;
    /** Asks a peer to hand a reply back to who asked. */
    private static final byte HAND_BACK = 5;
    /** A reply that came over a peer. */
    private static final byte HANDED_BACK = 6;

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownAddress;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<String, Long> brokenSinceProbe = new HashMap<>();
    private final Map<String, Double> readNanos = new HashMap<>();
    private final Handler handler;
    private Supplier<Optional<String>> peer = Optional::empty;
    private long lastCorrelation;

    /**
     * Makes calls.
     *
     * @param loop the loop that owns them
     * @param frames carries frames
     * @param ownAddress the address that replies are sent to
     * @param handler answers requests of others
     */
    public ReplicaCalls(EventLoop loop, FrameSender frames, String ownAddress, Handler handler) {
        this.loop = loop;
        this.frames = frames;
        this.ownAddress = ownAddress;
        this.handler = handler;
    }

    /** Answers requests; the reply may come later. */
    public interface Handler {
        /**
         * Answers a request.
         *
         * @param request the request
         * @return the reply
         */
        CompletableFuture<ReplicaReply> handle(ReplicaRequest request);
    }

    /**
     * Says how to find a peer that reaches the store VMs.
     *
     * @param finder gives the address of such a peer, if there is one
     */
    public void setRelayFinder(Supplier<Optional<String>> finder) {
        peer = finder;
    }

    /**
     * Whether the last direct request to an address was answered, or none was made yet.
     *
     * @param address the address
     * @return false after a request without a reply
     */
    public boolean reaches(String address) {
        return !brokenSinceProbe.containsKey(address);
    }

    /**
     * How long a store VM has taken to answer reads of late. Reads don't wait for a disk, so those of the node's own
     * availability zone take least.
     *
     * @param address the address
     * @return a running mean, ns; 0 if it was not asked yet
     */
    double readLatencyNanos(String address) {
        return readNanos.getOrDefault(address, 0.0);
    }

    /**
     * Asks a store VM.
     *
     * @param address its address
     * @param request the request
     * @param patience how long to wait for the reply
     * @return the reply; fails with StepException
     */
    public CompletableFuture<ReplicaReply> ask(String address, ReplicaRequest request, Duration patience) {
        long correlation = ++lastCorrelation;
        CompletableFuture<ReplicaReply> reply = new CompletableFuture<>();
        Cancellable timer = loop.schedule(patience, () -> gaveUp(address, correlation, patience));
        boolean read = request instanceof ReplicaRequest.Read;
        waiting.put(correlation, new Waiting(reply, timer, read, loop.clock().nanos()));
        byte[] frame = encode(out -> {
            out.packByte(REQUEST).packLong(correlation).packString(ownAddress);
            ConversationCodec.request(out, request);
        });
        Optional<String> way = reaches(address) ? Optional.empty() : peer.get();
        way.ifPresent(via -> frames.send(via, encode(out -> {
            out.packByte(HAND_ON).packString(address);
            bytes(out, frame);
        })));
        if (way.isEmpty() || probeIsDue(address)) {
            frames.send(address, frame);
        }
        return reply;
    }

    /**
     * Takes in a frame.
     *
     * @param frame its bytes
     * @throws StepException if it is none of ours
     */
    public void receive(byte[] frame) {
        MessagePackFrames.decode(frame, in -> {
            byte type = in.unpackByte();
            switch (type) {
                case REQUEST -> takeRequest(in, Optional.empty());
                case REPLY -> takeReply(in, true);
                case HAND_ON -> handOn(in.unpackString(), bytes(in));
                case HANDED_ON -> takeHandedOn(in.unpackString(), bytes(in));
                case HAND_BACK -> handBack(in.unpackString(), bytes(in));
                case HANDED_BACK -> takeHandedBack(bytes(in));
                default -> throw new IOException("unknown frame " + type);
            }
            return null;
        });
    }

    private void gaveUp(String address, long correlation, Duration patience) {
        Waiting known = waiting.remove(correlation);
        if (known == null) {
            return;
        }
        if (brokenSinceProbe.putIfAbsent(address, loop.clock().nanos()) == null) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_broken")
                            .with("store", address)
                            .with("waited_ms", patience.toMillis())
                            .toString());
        }
        frames.reset(address);
        known.reply()
                .completeExceptionally(
                        new StepException(Step.COMMIT, address, "no reply in " + patience.toMillis() + " ms"));
    }

    private boolean probeIsDue(String address) {
        long now = loop.clock().nanos();
        boolean due = now - brokenSinceProbe.getOrDefault(address, now) > PROBE_PERIOD.toNanos();
        if (due) {
            brokenSinceProbe.put(address, now);
        }
        return due;
    }

    private void takeRequest(MessageUnpacker in, Optional<String> via) throws IOException {
        long correlation = in.unpackLong();
        String from = in.unpackString();
        ReplicaRequest request = ConversationCodec.request(in);
        handler.handle(request)
                .whenComplete((reply, failure) -> loop.execute(() -> answer(from, via, correlation, reply, failure)));
    }

    private void takeReply(MessageUnpacker in, boolean direct) throws IOException {
        long correlation = in.unpackLong();
        String from = in.unpackString();
        if (direct && brokenSinceProbe.remove(from) != null) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_path_whole").with("store", from).toString());
        }
        Waiting known = waiting.remove(correlation);
        if (known != null) {
            known.timer().cancel();
            if (known.read()) {
                noteLatency(from, (double) (loop.clock().nanos() - known.askedNanos()));
            }
            known.reply().complete(ConversationCodec.reply(in));
        }
    }

    private void handOn(String to, byte[] request) {
        frames.send(to, encode(out -> {
            out.packByte(HANDED_ON).packString(ownAddress);
            bytes(out, request);
        }));
    }

    private void takeHandedOn(String via, byte[] request) {
        MessagePackFrames.decode(request, in -> {
            if (in.unpackByte() == REQUEST) {
                takeRequest(in, Optional.of(via));
            }
            return null;
        });
    }

    private void handBack(String to, byte[] reply) {
        frames.send(to, encode(out -> {
            out.packByte(HANDED_BACK);
            bytes(out, reply);
        }));
    }

    private void takeHandedBack(byte[] reply) {
        MessagePackFrames.decode(reply, in -> {
            if (in.unpackByte() == REPLY) {
                takeReply(in, false);
            }
            return null;
        });
    }

    private void answer(String to, Optional<String> via, long correlation, ReplicaReply reply, Throwable failure) {
        if (failure != null) {
            // The asker waits out its time and asks again; the line says why.
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
                out.packByte(HAND_BACK).packString(to);
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

    private void noteLatency(String address, double nanos) {
        readNanos.merge(address, nanos, (known, newest) -> known + LATENCY_WEIGHT * (newest - known));
    }

    private record Waiting(CompletableFuture<ReplicaReply> reply, Cancellable timer, boolean read, long askedNanos) {}
}
