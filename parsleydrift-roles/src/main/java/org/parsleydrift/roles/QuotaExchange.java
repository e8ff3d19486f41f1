package org.parsleydrift.roles;

import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.QuotaAuthority;
import org.parsleydrift.placement.QuotaCharge;
import org.parsleydrift.placement.QuotaCoordinators;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.placement.QuotaGate;
import org.parsleydrift.placement.QuotaRequest;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.Team;

/**
 * Asks the coordinators of teams for charges to their quotas, and decides for the teams that this node coordinates
 * (docs/design/quotas.md). Confined to its event loop.
 */
final class QuotaExchange implements QuotaGate {
    private static final Logger LOG = System.getLogger(QuotaExchange.class.getName());
    /** Time to wait for an answer, after which the next node is asked; a cold node takes some 100 ms for a surge. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
    /** Time for which a coordinator that did not answer is not asked; in this time the others learn that it has ended. */
    static final Duration AVOIDANCE = Duration.ofSeconds(1);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    /** Time from asking for a charge to sending the request from which on the coordinator is told of the latter. */
    private static final Duration MIN_SEND_DELAY = Duration.ofMillis(100);

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final long processStart;
    private final QuotaTracker tracker;
    private final Duration window;
    private final Supplier<List<NodeIdentity>> readyNodes;
    private final BooleanSupplier peerUsageKnown;
    private final MeterRegistry meters;
    private final QuotaCoordinators coordinators;
    private final Map<Long, Ask> asks = new HashMap<>();
    /** Requests that the coordinator at a link address may have granted after this node had given it up. */
    private final Map<Long, Abandoned> abandoned = new HashMap<>();

    private final Map<QuotaFrame.ChargeId, Granted> granted = new HashMap<>();
    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
    private Map<String, String> links = Map.of();
    private OptionalLong lastDeclineNanos = OptionalLong.empty();
    private long lastNumber;

    private record Abandoned(String link, long nanos) {}

    private record Granted(QuotaCharge charge, long nanos) {}

    /**
     * Creates the exchange.
     *
     * @param loop event loop that the exchange is confined to
     * @param frames sends frames to other nodes
     * @param self this node
     * @param processStart random number that distinguishes this process from its predecessors
     * @param tracker counts what this node admits as coordinator
     * @param window window of the quotas
     * @param readyNodes returns the live, ready nodes, including this one
     * @param peerUsageKnown returns true if reports of peers arrive, or if this node is known to be the only one
     * @param meters registry for the metrics
     */
    QuotaExchange(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            long processStart,
            QuotaTracker tracker,
            Duration window,
            Supplier<List<NodeIdentity>> readyNodes,
            BooleanSupplier peerUsageKnown,
            MeterRegistry meters) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.processStart = processStart;
        this.tracker = tracker;
        this.window = window;
        this.readyNodes = readyNodes;
        this.peerUsageKnown = peerUsageKnown;
        this.meters = meters;
        this.coordinators = new QuotaCoordinators(self.name());
    }

    /** Starts the periodic checks. */
    void start() {
        loop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
    }

    @Override
    public Optional<Duration> retryDelay(Team team) {
        return tracker.retryDelay(team);
    }

    @Override
    public void acquire(Team team, QuotaRequest request, Consumer<QuotaDecision> listener) {
        if (!team.quota().isLimited()) {
            tracker.acquire(team, request, listener);
        } else if (peerUsageKnown.getAsBoolean()) {
            new Ask(team, request, listener).askNext();
        } else {
            listener.accept(new QuotaDecision.Undetermined());
        }
    }

    /** Handles a frame; returns false if it is not one about quotas. A malformed one is dropped. */
    boolean receive(byte[] frame) {
        if (!QuotaFrame.isQuotaFrame(frame)) {
            return false;
        }
        try {
            switch (QuotaFrame.decode(frame)) {
                case QuotaFrame.Acquire acquire -> answer(acquire);
                case QuotaFrame.Reply reply -> handleReply(reply);
                case QuotaFrame.Refund refund -> {
                    Granted charge = granted.remove(refund.id());
                    if (charge != null) {
                        charge.charge().refund();
                    }
                }
                case QuotaFrame.Charge charge -> tracker.charge(charge.team());
                case QuotaFrame.Sent sent ->
                    granted.computeIfPresent(sent.id(), (id, each) -> {
                        each.charge().recordSend();
                        return new Granted(each.charge(), nowNanos());
                    });
            }
        } catch (StepException fault) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("quota_frame_malformed").failure(fault).toString());
        }
        return true;
    }

    private void answer(QuotaFrame.Acquire acquire) {
        QuotaDecision decision =
                decide(acquire.team(), acquire.request(), acquire.precedingDeclined(), acquire.forced());
        QuotaFrame.Outcome outcome = switch (decision) {
            case QuotaDecision.Allowed allowed -> {
                allowed.charge().ifPresent(each -> granted.put(acquire.id(), new Granted(each, nowNanos())));
                yield QuotaFrame.Outcome.GRANTED;
            }
            case QuotaDecision.Exceeded ignored -> QuotaFrame.Outcome.EXCEEDED;
            case QuotaDecision.Undetermined ignored -> QuotaFrame.Outcome.DECLINED;
        };
        Duration retryAfter =
                decision instanceof QuotaDecision.Exceeded exceeded ? exceeded.retryAfter() : Duration.ZERO;
        QuotaFrame.Reply reply =
                new QuotaFrame.Reply(acquire.id().processStart(), acquire.id().number(), outcome, retryAfter);
        frames.send(acquire.link(), reply.encode());
    }

    private QuotaDecision decide(Team team, QuotaRequest request, boolean precedingDeclined, boolean forced) {
        long now = nowNanos();
        if (!forced && !tracker.hasObservedWindow()) {
            lastDeclineNanos = OptionalLong.of(now);
            return new QuotaDecision.Undetermined();
        }
        QuotaAuthority authority = coordinators.decide(team.name(), precedingDeclined, now);
        // Others have decided for this node until now.
        boolean hasDeclined = lastDeclineNanos.isPresent()
                && now - lastDeclineNanos.getAsLong() < QuotaCoordinators.HANDOVER.toNanos();
        return tracker.acquire(team, request, hasDeclined ? QuotaAuthority.PROVISIONAL : authority);
    }

    private void handleReply(QuotaFrame.Reply reply) {
        if (reply.processStart() != processStart) {
            return;
        }
        Ask ask = asks.remove(reply.number());
        Abandoned late = abandoned.remove(reply.number());
        if (ask != null) {
            ask.handleReply(reply);
        } else if (late != null && reply.outcome() == QuotaFrame.Outcome.GRANTED) {
            frames.send(late.link(), new QuotaFrame.Refund(id(reply.number())).encode());
        }
    }

    private QuotaFrame.ChargeId id(long number) {
        return new QuotaFrame.ChargeId(self.name(), processStart, number);
    }

    private void check() {
        long now = nowNanos();
        List<NodeIdentity> ready = readyNodes.get();
        links = ready.stream().collect(Collectors.toMap(NodeIdentity::name, NodeIdentity::link, (one, other) -> other));
        coordinators.update(links.keySet(), now);
        avoidedUntilNanos.values().removeIf(until -> until - now <= 0);
        abandoned.values().removeIf(each -> now - each.nanos() > window.toNanos());
        granted.values().removeIf(each -> now - each.nanos() > window.toNanos());
    }

    private long nowNanos() {
        return loop.clock().nanos();
    }

    private void count(String outcome) {
        meters.counter("parsleydrift.quota.decisions", "outcome", outcome).increment();
    }

    /** The search for a node that decides on one request. */
    private final class Ask {
        private final Team team;
        private final QuotaRequest request;
        private final Consumer<QuotaDecision> listener;
        private final Set<String> asked = new HashSet<>();
        private Optional<String> declined = Optional.empty();
        private boolean precedingDeclined = true;
        private boolean forced;
        private String present = "";
        private String presentLink = "";
        private long askedNanos;
        private Cancellable timer = () -> {};

        private Ask(Team team, QuotaRequest request, Consumer<QuotaDecision> listener) {
            this.team = team;
            this.request = request;
            this.listener = listener;
        }

        /** Asks the next node; the first one that has declined is asked to decide in any case if no other does. */
        private void askNext() {
            if (links.isEmpty()) {
                check();
            }
            List<String> candidates = coordinators.candidates(team.name());
            Optional<String> next = candidates.stream()
                    .filter(each -> !asked.contains(each) && !avoidedUntilNanos.containsKey(each))
                    .findFirst();
            precedingDeclined &= candidates.stream()
                    .takeWhile(each -> !next.equals(Optional.of(each)))
                    .allMatch(asked::contains);
            if (next.isEmpty() && !forced) {
                forced = true;
                declined.filter(links::containsKey).ifPresentOrElse(this::ask, this::endUndetermined);
            } else {
                next.ifPresentOrElse(this::ask, this::endUndetermined);
            }
        }

        private void ask(String node) {
            present = node;
            presentLink = links.get(node);
            asked.add(node);
            if (node.equals(self.name())) {
                handleDecision(decide(team, request, isAfterDeclines(), forced));
                return;
            }
            askedNanos = nowNanos();
            long number = ++lastNumber;
            asks.put(number, this);
            timer = loop.schedule(ANSWER_TIMEOUT, () -> handleTimeout(number));
            frames.send(
                    presentLink,
                    new QuotaFrame.Acquire(id(number), self.link(), team, request, isAfterDeclines(), forced).encode());
        }

        /** Whether there are candidates before the present one, all of which have declined. */
        private boolean isAfterDeclines() {
            return precedingDeclined && asked.size() > 1;
        }

        private void handleReply(QuotaFrame.Reply reply) {
            timer.cancel();
            handleDecision(
                    switch (reply.outcome()) {
                        case GRANTED ->
                            new QuotaDecision.Allowed(
                                    Optional.of(new RemoteCharge(team, reply.number(), presentLink, askedNanos)));
                        case EXCEEDED -> new QuotaDecision.Exceeded(reply.retryAfter());
                        case DECLINED -> new QuotaDecision.Undetermined();
                    });
        }

        private void handleDecision(QuotaDecision decision) {
            if (decision instanceof QuotaDecision.Undetermined) {
                declined = declined.or(() -> Optional.of(present));
                askNext();
            } else {
                end(decision);
            }
        }

        private void handleTimeout(long number) {
            if (asks.remove(number) == null) {
                return;
            }
            count("timed_out");
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("quota_coordinator_timeout")
                            .with("coordinator", present)
                            .with("team", team.name())
                            .toString());
            abandoned.put(number, new Abandoned(presentLink, nowNanos()));
            precedingDeclined = false;
            avoidedUntilNanos.put(present, nowNanos() + AVOIDANCE.toNanos());
            askNext();
        }

        private void endUndetermined() {
            end(new QuotaDecision.Undetermined());
        }

        private void end(QuotaDecision decision) {
            String outcome = switch (decision) {
                case QuotaDecision.Allowed ignored -> "granted";
                case QuotaDecision.Exceeded ignored -> "exceeded";
                case QuotaDecision.Undetermined ignored -> "undetermined";
            };
            count(outcome);
            if (!outcome.equals("granted")) {
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("quota_refused")
                                .with("team", team.name())
                                .with("coordinator", present)
                                .with("outcome", outcome)
                                .with("asked", asked.size())
                                .toString());
            }
            listener.accept(decision);
        }
    }

    /** A charge that another node has counted. */
    private final class RemoteCharge implements QuotaCharge {
        private final Team team;
        private final long number;
        private final String link;
        private final long askedNanos;
        private boolean charged = true;

        private RemoteCharge(Team team, long number, String link, long askedNanos) {
            this.askedNanos = askedNanos;
            this.team = team;
            this.number = number;
            this.link = link;
        }

        @Override
        public void recordSend() {
            if (nowNanos() - askedNanos >= MIN_SEND_DELAY.toNanos()) {
                frames.send(link, new QuotaFrame.Sent(id(number)).encode());
            }
        }

        /** Charges at the present coordinator, as the one that has granted the first attempt may be gone. */
        @Override
        public void chargeAgain() {
            Optional<String> coordinator =
                    coordinators.candidates(team.name()).stream().findFirst();
            if (coordinator.filter(each -> !each.equals(self.name())).isPresent()) {
                frames.send(links.get(coordinator.get()), new QuotaFrame.Charge(team).encode());
            } else {
                tracker.charge(team);
            }
        }

        @Override
        public void refund() {
            if (charged) {
                charged = false;
                frames.send(link, new QuotaFrame.Refund(id(number)).encode());
            }
        }
    }
}
