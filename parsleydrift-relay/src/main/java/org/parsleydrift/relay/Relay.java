package org.parsleydrift.relay;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.QuotaGate;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.wire.NetworkThreads;

/**
 * Relays requests of callers to runners, each by a {@link RelayedRequest}. Not thread-safe; confined to one event loop.
 */
public final class Relay implements RequestHandler {
    private final EventLoop loop;
    private final Registry registry;
    private final Dispatcher dispatcher;
    private final Conversations conversations;
    private final QuotaGate quotas;
    private final RunnerConnectionPool connections;
    private final HeaderNames headerNames;
    private final RandomGenerator random;
    private final RelayMetrics metrics;
    private final OwedResponses owedResponses;
    private final RunnerLosses losses;
    private final RouteLatencies latencies = new RouteLatencies();
    private final DrainAdmission drainAdmission = new DrainAdmission(latencies);
    private final ResponseBuffers responseBuffers = ResponseBuffers.ofHeap();
    private final List<RelayedRequest> awaitingPreparation = new ArrayList<>();
    private AdmissionPolicy admission = AdmissionPolicy.DEFAULT;
    private OptionalLong endNanos = OptionalLong.empty();
    private BooleanSupplier otherNodeReady = () -> true;
    private final Set<RelayedRequest> openRequests = new HashSet<>();

    /**
     * Creates a relay and subscribes it to changes of the registry.
     *
     * @param threads the network threads, of which there must be one
     * @param loop the event loop of that thread
     * @param registry source of the manifest and the runners
     * @param dispatcher assigns requests to runners
     * @param conversations client of the store VMs, which hold turns and token budgets
     * @param quotas checks requests against the quotas of teams
     * @param headerNames names of the headers
     * @param random source of randomness for weighted destinations and jitter
     * @param meters registry for the relay's metrics
     */
    public Relay(
            NetworkThreads threads,
            EventLoop loop,
            Registry registry,
            Dispatcher dispatcher,
            Conversations conversations,
            QuotaGate quotas,
            HeaderNames headerNames,
            RandomGenerator random,
            MeterRegistry meters) {
        this.loop = loop;
        this.registry = registry;
        this.dispatcher = dispatcher;
        this.conversations = conversations;
        this.quotas = quotas;
        this.headerNames = headerNames;
        this.random = random;
        this.metrics = new RelayMetrics(meters);
        this.owedResponses = new OwedResponses(meters);
        this.connections = new RunnerConnectionPool(threads, loop, headerNames, metrics);
        RunnerChecks checks = new RunnerChecks(
                loop, new RunnerProbe(threads, loop, headerNames), registry, this::suspendUnreachable, meters);
        RunnerLossLedger ledger = new RunnerLossLedger(conversations, loop.clock(), random.nextLong());
        this.losses = new RunnerLosses(loop, checks, ledger, () -> loop.execute(dispatcher::workLimited));
        meters.gauge("parsleydrift.work.limited", losses, RunnerLosses::worksAtLimit);
        registry.onChange(this::registryChanged);
    }

    @Override
    public OpenRequest handle(CallerRequest request, CallerResponse response) {
        Optional<RequestParameters> parameters = RequestParameters.parse(request.headers(), headerNames);
        RelayedRequest relayed = new RelayedRequest(this, request, parameters, response);
        openRequests.add(relayed);
        try {
            relayed.start();
        } catch (RuntimeException | Error fault) {
            openRequests.remove(relayed);
            throw fault;
        }
        return relayed;
    }

    /**
     * Puts the services under contention control, which applies only while the manifest permits it. To be called before
     * the first request.
     *
     * @param settings settings of the deployment
     * @param meters registry for the control's metrics
     * @return the control
     */
    public ContentionControl enableContentionControl(ContentionSettings settings, MeterRegistry meters) {
        ContentionControl control = new ContentionControl(
                settings, registry, dispatcher, loop.clock()::nanos, new ContentionReports(meters));
        dispatcher.usePolicy(control, control);
        useAdmission(control);
        return control;
    }

    /** Replaces the default policy. */
    void useAdmission(AdmissionPolicy policy) {
        admission = policy;
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return number of requests
     */
    public int openRequests() {
        return openRequests.size();
    }

    /**
     * Returns the responses that are owed to callers.
     *
     * @return the responses
     */
    public OwedResponses owedResponses() {
        return owedResponses;
    }

    /**
     * Sets the time by which each request must have been answered, as the process ends soon after it. From now on new
     * requests are accepted only if they can be served by then.
     *
     * @param nanos time on the clock of the loop, ns
     * @param isOtherNodeReady whether another node can serve callers that this one rejects
     */
    public void endBy(long nanos, BooleanSupplier isOtherNodeReady) {
        endNanos = OptionalLong.of(nanos);
        otherNodeReady = isOtherNodeReady;
    }

    /** Returns whether a request with a timeout can be accepted, as far as the end of the process is concerned. */
    boolean hasTimeFor(Route route, Duration timeout) {
        return timeUntilEnd()
                .map(each -> drainAdmission.accepts(route, timeout, each, otherNodeReady.getAsBoolean()))
                .orElse(true);
    }

    /** Returns the time until each request must have been answered; empty unless the process ends. */
    Optional<Duration> timeUntilEnd() {
        return endNanos.stream()
                .mapToObj(
                        each -> Duration.ofNanos(Math.max(0, each - loop.clock().nanos())))
                .findAny();
    }

    /**
     * Returns the runners that were lost under requests, which nodes report to each other.
     *
     * @return the losses
     */
    public RunnerLosses losses() {
        return losses;
    }

    void awaitPreparation(RelayedRequest request) {
        awaitingPreparation.add(request);
    }

    /** Returns what this node has yet to know before it places requests; empty if nothing is missing. */
    Optional<String> missing() {
        if (registry.manifest().isEmpty()) {
            return Optional.of("no manifest received yet");
        }
        return losses.areCurrent() ? Optional.empty() : Optional.of("runners lost at other nodes not known yet");
    }

    /** Resumes the requests that wait until this node knows what it has to know for placing them, if it does now. */
    public void resumeWaiting() {
        if (!awaitingPreparation.isEmpty() && missing().isEmpty()) {
            List<RelayedRequest> waiting = List.copyOf(awaitingPreparation);
            awaitingPreparation.clear();
            waiting.stream().filter(RelayedRequest::isAwaitingPreparation).forEach(RelayedRequest::start);
        }
    }

    private void suspendUnreachable(Runner runner) {
        dispatcher
                .health(runner.incarnation())
                .recordConnectFailure(loop.clock().nanos());
    }

    private void registryChanged() {
        resumeWaiting();
        metrics.recordRunners(registry.allRunners());
        registry.manifest().ifPresent(each -> latencies.retain(each.routeNames()));
        dispatcher.manifestChanged();
        dispatcher.runnersChanged();
    }

    void requestEnded(RelayedRequest request) {
        openRequests.remove(request);
    }

    /** Records the latency of a request that was answered. */
    void recordLatency(Route route, Duration latency) {
        latencies.add(route.name(), latency);
    }

    EventLoop loop() {
        return loop;
    }

    AdmissionPolicy admission() {
        return admission;
    }

    Registry registry() {
        return registry;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    Conversations conversations() {
        return conversations;
    }

    QuotaGate quotas() {
        return quotas;
    }

    ResponseBuffers responseBuffers() {
        return responseBuffers;
    }

    RunnerConnectionPool connections() {
        return connections;
    }

    HeaderNames headerNames() {
        return headerNames;
    }

    RandomGenerator random() {
        return random;
    }

    RelayMetrics metrics() {
        return metrics;
    }
}
