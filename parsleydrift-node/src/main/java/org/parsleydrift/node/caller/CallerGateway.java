package org.parsleydrift.node.caller;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * Takes callers' requests to the owners of their programs, here or on another node, and looks again for the owner
 * whenever it changes. All requests are idempotent by their keys, so asking again is safe. Confined to the node's loop.
 */
public final class CallerGateway {
    private static final Logger LOG = System.getLogger(CallerGateway.class.getName());
    private static final Duration LOOK_AGAIN = Duration.ofMillis(50);
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(500);
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);
    private static final long RETRY_AFTER_MILLIS = 2000;

    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final Supplier<Optional<OwnerRoutes>> routes;
    private final Map<Long, OpenRequest> forwarded = new HashMap<>();
    private final List<OpenRequest> open = new ArrayList<>();
    private final Map<String, Served> served = new HashMap<>();
    private long nextNumber;

    /**
     * Makes a gateway.
     *
     * @param loop the node's loop
     * @param timings limits
     * @param routes the ways to owners; empty while this node has none
     */
    public CallerGateway(EventLoop loop, NodeSettings.Timings timings, Supplier<Optional<OwnerRoutes>> routes) {
        this.loop = loop;
        this.timings = timings;
        this.routes = routes;
        loop.schedule(PROGRESS_PERIOD, this::tick);
    }

    /**
     * Serves a request that a caller made to this node.
     *
     * @param request the request
     * @param sink receives the replies, never Moved
     * @return ends the interest in further replies
     */
    public Runnable open(CallerRequest request, ReplySink sink) {
        OpenRequest opened = new OpenRequest(request, sink);
        open.add(opened);
        opened.attempt();
        return opened::close;
    }

    /**
     * Requests that callers of this node wait for.
     *
     * @return their number
     */
    public int waiting() {
        return open.size();
    }

    /**
     * Serves a request that a peer forwards.
     *
     * @param from the peer
     * @param forward the request
     */
    public void forward(NodeRecord from, PeerMessage.Forward forward) {
        Served serving = new Served(from, forward.number());
        served.put(serving.key(), serving);
        Optional<OwnerRoutes> ways = routes.get();
        if (ways.isEmpty() || !ways.get().directory().ready(forward.request().id())) {
            serving.reply(new CallerReply.Moved());
        } else {
            serving.cancel = handle(ways.get(), forward.request(), serving);
        }
    }

    /**
     * Ends the interest of a peer in a request.
     *
     * @param from the peer
     * @param number the peer's number of it
     */
    public void forwardCancel(NodeRecord from, long number) {
        Served serving = served.remove(from.incarnation() + "/" + number);
        if (serving != null) {
            serving.cancel.run();
        }
    }

    /**
     * Takes a reply to a request that this node forwarded.
     *
     * @param message the reply
     */
    public void forwardReply(PeerMessage.ForwardReply message) {
        OpenRequest request = forwarded.get(message.number());
        if (request != null) {
            request.forwardedReply(message);
        }
    }

    /**
     * Looks again for the owners of requests that went to a node that is over.
     *
     * @param incarnation the node
     */
    public void lost(String incarnation) {
        List.copyOf(open).stream()
                .filter(request -> incarnation.equals(request.target))
                .forEach(OpenRequest::retryNow);
    }

    private static Runnable handle(OwnerRoutes ways, CallerRequest request, ReplySink sink) {
        return ways.host().handle(request, reply -> {
            if (reply instanceof CallerReply.Refused refused && refused.kind() == RefusalKind.UNKNOWN_PROGRAM) {
                LOG.log(
                        Logger.Level.INFO,
                        LogLine.of("program_unknown")
                                .with("program", request.id())
                                .with("node", ways.self())
                                .with("chain", String.join(">", ways.directory().chain(request.id())))
                                .toString());
            }
            sink.reply(reply);
        });
    }

    private void tick() {
        List.copyOf(served.values()).forEach(serving -> serving.reply(new CallerReply.Progress()));
        List.copyOf(open).forEach(OpenRequest::check);
        loop.schedule(PROGRESS_PERIOD, this::tick);
    }

    /** A request that a peer forwarded to this node. */
    private final class Served implements ReplySink {
        private final NodeRecord from;
        private final long number;
        private long order;
        private Runnable cancel = () -> {};

        private Served(NodeRecord from, long number) {
            this.from = from;
            this.number = number;
        }

        private String key() {
            return from.incarnation() + "/" + number;
        }

        @Override
        public void reply(CallerReply reply) {
            if (reply.last()) {
                served.remove(key());
            }
            long sent = order++;
            routes.get().ifPresent(ways -> ways.send().accept(from, new PeerMessage.ForwardReply(number, sent, reply)));
        }
    }

    /** A request that a caller made to this node. */
    private final class OpenRequest {
        private final CallerRequest request;
        private final ReplySink sink;
        private long offset;
        private long number = -1;
        private long expectedOrder;
        private String target;
        private Runnable cancelLocal = () -> {};
        private long lastProgressNanos;
        private long lastReplyNanos;
        private String soughtAnew = "";
        private boolean handed;
        private boolean closed;
        private boolean retrySet;

        private OpenRequest(CallerRequest request, ReplySink sink) {
            this.request = request;
            this.sink = sink;
            this.offset = request instanceof CallerRequest.Attach attach ? attach.offset() : 0;
            this.lastProgressNanos = loop.clock().nanos();
        }

        private void attempt() {
            retrySet = false;
            if (closed) {
                return;
            }
            Optional<OwnerRoutes> ways = routes.get();
            if (ways.isEmpty()) {
                retryLater();
                return;
            }
            String owner = ways.get().directory().owner(request.id());
            if (owner.equals(ways.get().self())) {
                attemptHere(ways.get());
            } else {
                attemptThere(ways.get(), owner);
            }
        }

        private void attemptHere(OwnerRoutes ways) {
            if (!ways.directory().ready(request.id())) {
                retryLater();
                return;
            }
            target = ways.self();
            number = -1;
            boolean[] current = {true};
            Runnable cancel = handle(ways, present(), reply -> {
                if (current[0]) {
                    take(reply);
                }
            });
            cancelLocal = () -> {
                current[0] = false;
                cancel.run();
            };
        }

        private void attemptThere(OwnerRoutes ways, String owner) {
            Optional<NodeRecord> record = ways.registry().find(owner);
            if (record.isEmpty()) {
                refreshOrRefuse(ways, owner);
                return;
            }
            target = owner;
            number = nextNumber++;
            expectedOrder = 0;
            lastReplyNanos = loop.clock().nanos();
            forwarded.put(number, this);
            ways.send().accept(record.get(), new PeerMessage.Forward(number, present()));
        }

        private void refreshOrRefuse(OwnerRoutes ways, String owner) {
            // Sought anew for this owner and with this life's records: what an earlier read did not hold says nothing.
            String sought = ways.self() + " " + owner;
            if (soughtAnew.equals(sought)) {
                take(new CallerReply.Refused(
                        RefusalKind.BAD_REQUEST, Step.FORWARD, "self", "unknown ticket " + owner, 0));
                return;
            }
            ways.registry()
                    .refreshAnew()
                    .whenCompleteAsync(
                            (done, failure) -> {
                                soughtAnew = failure == null ? sought : "";
                                retryLater();
                            },
                            loop);
        }

        /** The request as it stands now: read on from the offset reached, and no longer a first try once handed on. */
        private CallerRequest present() {
            boolean again = handed;
            handed = true;
            return switch (request) {
                case CallerRequest.Attach attach -> new CallerRequest.Attach(attach.id(), offset);
                case CallerRequest.Start start
                when again -> new CallerRequest.Start(start.id(), start.agent(), start.prompt(), false);
                case CallerRequest.CallService call
                when again -> new CallerRequest.CallService(call.id(), call.service(), call.body(), false);
                default -> request;
            };
        }

        private void forwardedReply(PeerMessage.ForwardReply message) {
            if (message.order() != expectedOrder) {
                // A reply was lost with its connection: what follows would leave a hole in the answer.
                retryNow();
                return;
            }
            expectedOrder++;
            lastReplyNanos = loop.clock().nanos();
            take(message.reply());
        }

        private void take(CallerReply reply) {
            if (closed) {
                return;
            }
            switch (reply) {
                case CallerReply.Moved ignored -> {
                    detach();
                    retryLater();
                    return;
                }
                case CallerReply.Output output ->
                    offset = output.offset() + output.text().length();
                case CallerReply.Rewind rewind -> offset = rewind.offset();
                default -> {}
            }
            lastProgressNanos = loop.clock().nanos();
            if (reply.last()) {
                finish();
            }
            sink.reply(reply);
        }

        private void check() {
            long now = loop.clock().nanos();
            if (number >= 0 && now - lastReplyNanos > SILENCE_LIMIT.toNanos()) {
                // The link or the owner fell silent. A new connection and a new look for the owner tell which.
                routes.get().ifPresent(ways -> ways.registry().find(target).ifPresent(ways.reset()));
                retryNow();
            }
            boolean noOwner = target == null;
            if (noOwner
                    && now - lastProgressNanos > timings.ownerLookupTimeout().toNanos()) {
                giveUp();
            }
            if (!closed && !noOwner) {
                sink.reply(new CallerReply.Progress());
            }
        }

        /** Gives the final answer at once; the caller is told when to come back rather than kept waiting. */
        private void giveUp() {
            // Only the owner can say "not run": another node may have taken an earlier try of this request to it.
            take(new CallerReply.Refused(
                    RefusalKind.OUTCOME_UNKNOWN,
                    Step.FORWARD,
                    String.valueOf(target),
                    "the owner can't be reached",
                    RETRY_AFTER_MILLIS));
        }

        private void retryNow() {
            detach();
            retryLater();
        }

        private void retryLater() {
            target = null;
            if (!retrySet && !closed) {
                retrySet = true;
                loop.schedule(LOOK_AGAIN, this::attempt);
            }
        }

        private void detach() {
            if (number >= 0) {
                forwarded.remove(number);
                long dropped = number;
                String to = target;
                routes.get()
                        .ifPresent(ways -> ways.registry()
                                .find(String.valueOf(to))
                                .ifPresent(
                                        record -> ways.send().accept(record, new PeerMessage.ForwardCancel(dropped))));
                number = -1;
            }
            cancelLocal.run();
            cancelLocal = () -> {};
        }

        private void finish() {
            closed = true;
            forwarded.remove(number);
            open.remove(this);
        }

        private void close() {
            if (!closed) {
                closed = true;
                detach();
                open.remove(this);
            }
        }
    }
}
