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
 * Routes caller requests to the owners of their programs, locally or on a peer, and retries when ownership moves.
 * Requests are idempotent by key, so a retry is safe. Confined to the node's event loop.
 */
public final class CallerGateway {
    private static final Logger LOG = System.getLogger(CallerGateway.class.getName());
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(500);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_AFTER_MILLIS = 2000;
    /** Delay of a retry after the end of this process; other nodes can serve the caller. */
    private static final long END_RETRY_AFTER_MILLIS = 100;

    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final Supplier<Optional<OwnerRoutes>> routes;
    private final Map<Long, OpenRequest> outboundForwards = new HashMap<>();
    private final List<OpenRequest> openRequests = new ArrayList<>();
    private final Map<String, InboundForward> inboundForwards = new HashMap<>();
    private long nextForwardNumber;

    /**
     * Creates a gateway.
     *
     * @param loop the node's event loop
     * @param timings timeouts
     * @param routes supplies the routes to owners; empty while this node is not registered
     */
    public CallerGateway(EventLoop loop, NodeSettings.Timings timings, Supplier<Optional<OwnerRoutes>> routes) {
        this.loop = loop;
        this.timings = timings;
        this.routes = routes;
        loop.schedule(PROGRESS_INTERVAL, this::reportProgress);
    }

    /**
     * Opens a request that a caller made to this node.
     *
     * @param request the request
     * @param sink receives the replies, never {@link CallerReply.Moved}
     * @return cancels the request
     */
    public Runnable open(CallerRequest request, ReplySink sink) {
        OpenRequest opened = new OpenRequest(request, sink);
        openRequests.add(opened);
        opened.attempt();
        return opened::close;
    }

    /**
     * Returns the number of open requests of callers connected to this node.
     *
     * @return 0 or more
     */
    public int openRequestCount() {
        return openRequests.size();
    }

    /**
     * Returns the reply to a request that this process will not answer otherwise, as it ends.
     *
     * @param request the request
     * @param attempted whether an owner may have received it from this node
     * @return a refusal that permits a retry: not run only if no attempt can have reached an owner, also none before
     */
    public static CallerReply.Refused refusalAtEnd(CallerRequest request, boolean attempted) {
        boolean notRun = switch (request) {
            case CallerRequest.Start start -> start.first() && !attempted;
            case CallerRequest.CallService call -> call.first() && !attempted;
            case CallerRequest.Attach ignored -> true;
            case CallerRequest.Explain ignored -> true;
            case CallerRequest.Send ignored -> false;
            case CallerRequest.Cancel ignored -> false;
        };
        return new CallerReply.Refused(
                notRun ? RefusalKind.NOT_RUN : RefusalKind.OUTCOME_UNKNOWN,
                Step.ADMIT,
                "self",
                "process ends",
                END_RETRY_AFTER_MILLIS);
    }

    /** Replies to all open requests of callers connected to this node, as its process ends. */
    public void endOpenRequests() {
        List.copyOf(openRequests).forEach(OpenRequest::endNow);
    }

    /**
     * Handles a request forwarded by a peer. Replies {@link CallerReply.Moved} if this node does not own the program.
     *
     * @param from the peer
     * @param forward the request with the peer's number for it
     */
    public void handleForward(NodeRecord from, PeerMessage.Forward forward) {
        InboundForward inbound = new InboundForward(from, forward.number());
        inboundForwards.put(inbound.key(), inbound);
        Optional<OwnerRoutes> ownerRoutes = routes.get();
        if (ownerRoutes.isEmpty()
                || !ownerRoutes.get().directory().canServe(forward.request().id())) {
            inbound.reply(new CallerReply.Moved());
        } else {
            inbound.cancel = handleLocally(ownerRoutes.get(), forward.request(), inbound);
        }
    }

    /**
     * Cancels a request forwarded by a peer. Unknown numbers are ignored.
     *
     * @param from the peer
     * @param number the peer's number for the request
     */
    public void handleForwardCancel(NodeRecord from, long number) {
        InboundForward inbound = inboundForwards.remove(from.incarnation() + "/" + number);
        if (inbound != null) {
            inbound.cancel.run();
        }
    }

    /**
     * Handles a reply to a request that this node forwarded. Replies to requests no longer open are ignored.
     *
     * @param message the reply with this node's number for the request
     */
    public void handleForwardReply(PeerMessage.ForwardReply message) {
        OpenRequest request = outboundForwards.get(message.number());
        if (request != null) {
            request.handleForwardReply(message);
        }
    }

    /**
     * Retries the open requests whose target is a node with a sealed journal.
     *
     * @param incarnation the node's incarnation
     */
    public void retryRequestsTo(String incarnation) {
        List.copyOf(openRequests).stream()
                .filter(request -> incarnation.equals(request.target))
                .forEach(OpenRequest::detachAndRetry);
    }

    private static Runnable handleLocally(OwnerRoutes ownerRoutes, CallerRequest request, ReplySink sink) {
        return ownerRoutes.host().handle(request, reply -> {
            if (reply instanceof CallerReply.Refused refused && refused.kind() == RefusalKind.UNKNOWN_PROGRAM) {
                LOG.log(
                        Logger.Level.INFO,
                        LogLine.of("program_unknown")
                                .with("program", request.id())
                                .with("node", ownerRoutes.self())
                                .with(
                                        "chain",
                                        String.join(">", ownerRoutes.directory().chain(request.id())))
                                .toString());
            }
            sink.reply(reply);
        });
    }

    private void reportProgress() {
        List.copyOf(inboundForwards.values()).forEach(inbound -> inbound.reply(new CallerReply.Progress()));
        List.copyOf(openRequests).forEach(OpenRequest::checkTimeouts);
        loop.schedule(PROGRESS_INTERVAL, this::reportProgress);
    }

    /** A request that a peer forwarded to this node. */
    private final class InboundForward implements ReplySink {
        private final NodeRecord from;
        private final long number;
        private long nextOrder;
        private Runnable cancel = () -> {};

        private InboundForward(NodeRecord from, long number) {
            this.from = from;
            this.number = number;
        }

        private String key() {
            return from.incarnation() + "/" + number;
        }

        @Override
        public void reply(CallerReply reply) {
            if (reply.last()) {
                inboundForwards.remove(key());
            }
            long order = nextOrder++;
            routes.get()
                    .ifPresent(ownerRoutes ->
                            ownerRoutes.send().accept(from, new PeerMessage.ForwardReply(number, order, reply)));
        }
    }

    /** A request that a caller made to this node. */
    private final class OpenRequest {
        private final CallerRequest request;
        private final ReplySink sink;
        private long offset;
        private long forwardNumber = -1;
        private long expectedOrder;
        private String target;
        private Runnable cancelLocal = () -> {};
        private long lastProgressNanos;
        private long lastReplyNanos;
        private String refreshedFor = "";
        private boolean attempted;
        private boolean closed;
        private boolean retryScheduled;

        private OpenRequest(CallerRequest request, ReplySink sink) {
            this.request = request;
            this.sink = sink;
            this.offset = request instanceof CallerRequest.Attach attach ? attach.offset() : 0;
            this.lastProgressNanos = loop.clock().nanos();
        }

        private void attempt() {
            retryScheduled = false;
            if (closed) {
                return;
            }
            Optional<OwnerRoutes> ownerRoutes = routes.get();
            if (ownerRoutes.isEmpty()) {
                scheduleRetry();
                return;
            }
            String owner = ownerRoutes.get().directory().owner(request.id());
            if (owner.equals(ownerRoutes.get().self())) {
                attemptLocally(ownerRoutes.get());
            } else {
                attemptRemotely(ownerRoutes.get(), owner);
            }
        }

        private void attemptLocally(OwnerRoutes ownerRoutes) {
            if (!ownerRoutes.directory().canServe(request.id())) {
                scheduleRetry();
                return;
            }
            target = ownerRoutes.self();
            forwardNumber = -1;
            boolean[] active = {true};
            Runnable cancel = handleLocally(ownerRoutes, nextRequest(), reply -> {
                if (active[0]) {
                    deliver(reply);
                }
            });
            cancelLocal = () -> {
                active[0] = false;
                cancel.run();
            };
        }

        private void attemptRemotely(OwnerRoutes ownerRoutes, String owner) {
            Optional<NodeRecord> record = ownerRoutes.registry().find(owner);
            if (record.isEmpty()) {
                refreshOrRefuse(ownerRoutes, owner);
                return;
            }
            target = owner;
            forwardNumber = nextForwardNumber++;
            expectedOrder = 0;
            lastReplyNanos = loop.clock().nanos();
            outboundForwards.put(forwardNumber, this);
            ownerRoutes.send().accept(record.get(), new PeerMessage.Forward(forwardNumber, nextRequest()));
        }

        private void refreshOrRefuse(OwnerRoutes ownerRoutes, String owner) {
            // An owner is unknown only if a read begun after this lookup, by this incarnation, did not find it.
            String refreshKey = ownerRoutes.self() + " " + owner;
            if (refreshedFor.equals(refreshKey)) {
                deliver(new CallerReply.Refused(
                        RefusalKind.BAD_REQUEST, Step.FORWARD, "self", "ticket names an unknown node: " + owner, 0));
                return;
            }
            ownerRoutes
                    .registry()
                    .refreshAgain()
                    .whenCompleteAsync(
                            (done, failure) -> {
                                refreshedFor = failure == null ? refreshKey : "";
                                scheduleRetry();
                            },
                            loop);
        }

        /**
         * Returns the request for the next attempt: resumed at the current offset and marked as a repeat if it is one.
         */
        private CallerRequest nextRequest() {
            boolean repeated = attempted;
            attempted = true;
            return switch (request) {
                case CallerRequest.Attach attach -> new CallerRequest.Attach(attach.id(), offset);
                case CallerRequest.Start start
                when repeated -> new CallerRequest.Start(start.id(), start.agent(), start.prompt(), false);
                case CallerRequest.CallService call
                when repeated -> new CallerRequest.CallService(call.id(), call.service(), call.body(), false);
                default -> request;
            };
        }

        private void handleForwardReply(PeerMessage.ForwardReply message) {
            if (message.order() != expectedOrder) {
                // A reply was lost with its connection; delivering this one would leave a gap in the answer.
                detachAndRetry();
                return;
            }
            expectedOrder++;
            lastReplyNanos = loop.clock().nanos();
            deliver(message.reply());
        }

        private void deliver(CallerReply reply) {
            if (closed) {
                return;
            }
            switch (reply) {
                case CallerReply.Moved ignored -> {
                    detach();
                    scheduleRetry();
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

        private void checkTimeouts() {
            long now = loop.clock().nanos();
            if (forwardNumber >= 0 && now - lastReplyNanos > REPLY_TIMEOUT.toNanos()) {
                // Either the connection or the owner has failed: reset the connection and look up the owner again.
                routes.get()
                        .ifPresent(ownerRoutes ->
                                ownerRoutes.registry().find(target).ifPresent(ownerRoutes.reset()));
                detachAndRetry();
            }
            boolean noOwner = target == null;
            if (noOwner
                    && now - lastProgressNanos > timings.ownerLookupTimeout().toNanos()) {
                refuseOwnerUnreachable();
            }
            if (!closed && !noOwner) {
                sink.reply(new CallerReply.Progress());
            }
        }

        /** Refuses the request with a retry delay instead of holding the connection until an owner is reachable. */
        private void refuseOwnerUnreachable() {
            // Only the owner can report NOT_RUN: an earlier attempt through another node may have reached it.
            deliver(new CallerReply.Refused(
                    RefusalKind.OUTCOME_UNKNOWN,
                    Step.FORWARD,
                    String.valueOf(target),
                    "no owner reachable within " + timings.ownerLookupTimeout().toMillis() + " ms",
                    RETRY_AFTER_MILLIS));
        }

        private void detachAndRetry() {
            detach();
            scheduleRetry();
        }

        private void scheduleRetry() {
            target = null;
            if (!retryScheduled && !closed) {
                retryScheduled = true;
                loop.schedule(RETRY_DELAY, this::attempt);
            }
        }

        private void detach() {
            if (forwardNumber >= 0) {
                outboundForwards.remove(forwardNumber);
                long cancelledNumber = forwardNumber;
                String formerTarget = target;
                routes.get()
                        .ifPresent(ownerRoutes -> ownerRoutes
                                .registry()
                                .find(String.valueOf(formerTarget))
                                .ifPresent(record -> ownerRoutes
                                        .send()
                                        .accept(record, new PeerMessage.ForwardCancel(cancelledNumber))));
                forwardNumber = -1;
            }
            cancelLocal.run();
            cancelLocal = () -> {};
        }

        private void endNow() {
            try {
                detach();
                deliver(refusalAtEnd(request, attempted));
            } catch (RuntimeException fault) {
                // The others must be answered nevertheless.
                LOG.log(
                        Logger.Level.ERROR,
                        LogLine.of("response_failed")
                                .with("program", request.id())
                                .failure(fault)
                                .toString());
            }
        }

        private void finish() {
            closed = true;
            outboundForwards.remove(forwardNumber);
            openRequests.remove(this);
        }

        private void close() {
            if (!closed) {
                closed = true;
                detach();
                openRequests.remove(this);
            }
        }
    }
}
