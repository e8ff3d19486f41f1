package org.parsleydrift.relay;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.wire.NetworkThreads;

/**
 * Relays requests of callers to runners, each by a {@link RelayedRequest}. Not thread-safe; confined to one event loop.
 */
public final class Relay implements RequestHandler {
    private final EventLoop loop;
    private final Registry registry;
    private final Dispatcher dispatcher;
    private final Conversations conversations;
    private final QuotaTracker allotments;
    private final RunnerConnections connections;
    private final HeaderNames dialect;
    private final RandomGenerator random;
    private final RelayMeters meters;
    private final List<RelayedRequest> awaitingManifest = new ArrayList<>();
    private int open;

    /**
     * Creates a relay and subscribes it to changes of the registry.
     *
     * @param threads the network threads, of which there must be one
     * @param loop the event loop of that thread
     * @param registry source of the manifest and the runners
     * @param dispatcher assigns requests to runners
     * @param conversations client of the store VMs, which hold turns and token budgets
     * @param allotments enforces the quotas of teams
     * @param dialect names of the headers
     * @param random source of randomness for weighted destinations and jitter
     * @param meters registry for the relay's metrics
     */
    public Relay(
            NetworkThreads threads,
            EventLoop loop,
            Registry registry,
            Dispatcher dispatcher,
            Conversations conversations,
            QuotaTracker allotments,
            HeaderNames dialect,
            RandomGenerator random,
            MeterRegistry meters) {
        this.loop = loop;
        this.registry = registry;
        this.dispatcher = dispatcher;
        this.conversations = conversations;
        this.allotments = allotments;
        this.connections = new RunnerConnections(threads, loop, dialect);
        this.dialect = dialect;
        this.random = random;
        this.meters = new RelayMeters(meters);
        registry.onChange(this::registryChanged);
    }

    @Override
    public Runnable handle(CallerRequest request, CallerAnswer answer) {
        Optional<RequestFacts> facts = RequestFacts.read(request.headers(), dialect);
        RelayedRequest relayed = new RelayedRequest(this, request, facts, answer);
        open++;
        relayed.start();
        return relayed::callerGone;
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return number of requests
     */
    public int openRequests() {
        return open;
    }

    void awaitManifest(RelayedRequest request) {
        awaitingManifest.add(request);
    }

    private void registryChanged() {
        if (registry.manifest().isPresent() && !awaitingManifest.isEmpty()) {
            List<RelayedRequest> waiting = List.copyOf(awaitingManifest);
            awaitingManifest.clear();
            waiting.stream().filter(RelayedRequest::starting).forEach(RelayedRequest::start);
        }
        dispatcher.manifestChanged();
        dispatcher.runnersChanged();
    }

    void ended() {
        open--;
    }

    EventLoop loop() {
        return loop;
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

    QuotaTracker allotments() {
        return allotments;
    }

    RunnerConnections connections() {
        return connections;
    }

    HeaderNames dialect() {
        return dialect;
    }

    RandomGenerator random() {
        return random;
    }

    RelayMeters meters() {
        return meters;
    }
}
