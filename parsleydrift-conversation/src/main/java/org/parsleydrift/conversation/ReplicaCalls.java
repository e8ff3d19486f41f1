package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.LoopTimer;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * Requests to store VMs and their replies, over frames. Confined to one loop. A request without a reply in its time
 * fails and resets the connection, since a connection may go silent for good while new ones work.
 */
public final class ReplicaCalls {
    private static final Logger LOG = System.getLogger(ReplicaCalls.class.getName());
    private static final byte REQUEST = 1;
    private static final byte REPLY = 2;

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownAddress;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Handler handler;
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
        LoopTimer timer = loop.schedule(patience, () -> {
            if (waiting.remove(correlation) != null) {
                frames.reset(address);
                reply.completeExceptionally(
                        new StepException(Step.COMMIT, address, "no reply in " + patience.toMillis() + " ms"));
            }
        });
        waiting.put(correlation, new Waiting(reply, timer));
        frames.send(address, ConversationCodec.encode(out -> {
            out.packByte(REQUEST).packLong(correlation).packString(ownAddress);
            ConversationCodec.request(out, request);
        }));
        return reply;
    }

    /**
     * Takes in a frame.
     *
     * @param frame its bytes
     * @throws StepException if it is none of ours
     */
    public void receive(byte[] frame) {
        ConversationCodec.decode(frame, in -> {
            byte direction = in.unpackByte();
            long correlation = in.unpackLong();
            String from = in.unpackString();
            if (direction == REQUEST) {
                ReplicaRequest request = ConversationCodec.request(in);
                handler.handle(request)
                        .whenComplete(
                                (reply, failure) -> loop.execute(() -> answer(from, correlation, reply, failure)));
            } else {
                Waiting known = waiting.remove(correlation);
                if (known != null) {
                    known.timer().cancel();
                    known.reply().complete(ConversationCodec.reply(in));
                }
            }
            return null;
        });
    }

    private void answer(String to, long correlation, ReplicaReply reply, Throwable failure) {
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
        frames.send(to, ConversationCodec.encode(out -> {
            out.packByte(REPLY).packLong(correlation).packString(ownAddress);
            ConversationCodec.reply(out, reply);
        }));
    }

    private record Waiting(CompletableFuture<ReplicaReply> reply, LoopTimer timer) {}
}
