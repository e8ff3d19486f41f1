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

/** Serves caller-driven requests: one {@link RelayedRequest} each. Confined to one loop. */
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
     * Makes a relay.
     *
     * @param threads the network threads; one
     * @param loop the loop on that thread
     * @param registry knows manifest and runners
     * @param dispatcher places requests
     * @param conversations begins and ends turns
     * @param allotments what teams may still run
     * @param dialect header names
     * @param random draws among destinations
     * @param meters where to count
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
     * Requests that have not ended.
     *
     * @return their number
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
