package org.parsleydrift.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.admission.Admission;
import org.parsleydrift.placement.admission.AdmissionController;
import org.parsleydrift.placement.admission.AdmissionRequest;
import org.parsleydrift.placement.admission.ReturnSchedule;
import org.parsleydrift.placement.admission.ServiceState;
import org.parsleydrift.placement.fleet.SlotReservation;
import org.parsleydrift.placement.queue.ProgramDurations;
import org.parsleydrift.placement.queue.QueueOrder;
import org.parsleydrift.placement.queue.RankFloors;
import org.parsleydrift.placement.queue.TeamShares;
import org.parsleydrift.placement.queue.WaitingRequest;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;

/**
 * Control of contended services: order of the queue, slots reserved for better ranks, admission and return of rejected
 * programs, as decided by {@code org.parsleydrift.placement}. It applies only while every streaming route of the
 * manifest in force is stateful; otherwise the defaults do. Durations and rates are learned in either case.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class ContentionControl implements DispatchPolicy, AdmissionPolicy, DispatchListener {
    /**
     * Maximum wait for the runner that has cached a prompt, in runs of the route. A runner of several slots frees one in a
     * fraction of a run; waiting longer costs the caller more than computing the prompt at a runner with a free slot.
     */
    private static final double MAX_CACHE_WAIT_RUNS = 0.25;

    private final ContentionSettings settings;
    private final Registry registry;
    private final LongSupplier nanos;
    private final ServiceUsage usage;
    private final ReturnSchedule returns = new ReturnSchedule();
    private final AdmissionController admission;
    private final SlotReservation reservation;
    private final RankFloors floors;
    private final TeamShares shares = new TeamShares();
    private final ProgramDurations durations = new ProgramDurations();
    private final Map<QueuedRequest, Queued> waiting = new LinkedHashMap<>();
    private final Map<QueuedRequest, Long> assignedNanos = new HashMap<>();
    private final ContentionReports reports;
    private Function<String, Map<Integer, Integer>> peersWaiting = service -> Map.of();

    private record Queued(WaitingRequest view, long sinceNanos) {}

    ContentionControl(
            ContentionSettings settings,
            Registry registry,
            Dispatcher dispatcher,
            LongSupplier nanos,
            ContentionReports reports) {
        this.settings = settings;
        this.registry = registry;
        this.nanos = nanos;
        this.reports = reports;
        this.usage = new ServiceUsage(dispatcher);
        this.admission = new AdmissionController(settings, returns);
        this.reservation = new SlotReservation(settings.reservedShare());
        this.floors = new RankFloors(settings.floorShare());
    }

    /**
     * Sets the source of the peers' backlog. Without one, only this node's own queue counts.
     *
     * @param source returns the requests that wait at the peers for a service, by rank
     */
    public void usePeersWaiting(Function<String, Map<Integer, Integer>> source) {
        peersWaiting = source;
    }

    /**
     * Returns the backlog of this node, for the report to its peers.
     *
     * @return number of waiting requests by service and rank; empty if the control does not apply
     */
    public Map<String, Map<Integer, Integer>> ownWaiting() {
        return isActive()
                ? waiting.values().stream()
                        .map(Queued::view)
                        .collect(Collectors.groupingBy(
                                WaitingRequest::service,
                                Collectors.groupingBy(WaitingRequest::rank, Collectors.summingInt(each -> 1))))
                : Map.of();
    }

    /**
     * Returns the return slots of rejected programs, which nodes exchange.
     *
     * @return the schedule of this node
     */
    public ReturnSchedule returnSchedule() {
        return returns;
    }

    /**
     * Whether the control applies under the manifest in force.
     *
     * @return true if every streaming route is stateful
     */
    public boolean isActive() {
        return registry.manifest().filter(RoutingManifest::areStreamsStateful).isPresent();
    }

    @Override
    public List<QueueEntry> order(List<QueueEntry> queue) {
        return isActive()
                ? QueueOrder.sort(queue, each -> waiting.get(each.request()).view(), now(), shares, floors)
                : DispatchPolicy.DEFAULT.order(queue);
    }

    @Override
    public SlotLimit slotLimit(QueuedRequest request) {
        if (!isActive()) {
            return DispatchPolicy.DEFAULT.slotLimit(request);
        }
        int rank = request.priority();
        boolean due = floors.isDue(request.service(), rank);
        return reservation.limit(rank, due, state(request))::highestLoad;
    }

    @Override
    public AdmissionDecision decide(QueuedRequest request, long leftMillis) {
        // A request that may have run must not be cut short, since its rejection could not say "not run".
        if (!isActive() || request.facts().mayHaveRun()) {
            return AdmissionPolicy.DEFAULT.decide(request, leftMillis);
        }
        ServiceState state = state(request);
        if (state.slots() == 0) {
            // Without runners there is no rate to predict with.
            return AdmissionPolicy.DEFAULT.decide(request, leftMillis);
        }
        AdmissionRequest asked = admissionRequest(request);
        reports.recordState(request.service(), state, now());
        if (asked.returned() && request.facts().attempts() == 0) {
            reports.recordReturn(request, asked);
        }
        return switch (admission.decide(asked, state, now())) {
            case Admission.Enqueue enqueue -> {
                reports.recordPredictedWait(enqueue.predictedWait());
                yield new AdmissionDecision.Wait(enqueue.maxWait(), cacheWait(request, enqueue.maxWait()));
            }
            case Admission.Refuse refusal -> {
                reports.recordRefusal(request, refusal, state);
                yield new AdmissionDecision.Refuse("admission: " + reports.name(refusal), refusal.retryAfter());
            }
        };
    }

    /** Returns the wait for the runner that has cached the prompt: the usual one or, if it is shorter, a part of a run. */
    private Duration cacheWait(QueuedRequest request, Duration maxWait) {
        Duration usual = AdmissionPolicy.defaultCacheWait(maxWait);
        long runNanos = durations.runNanos(request.facts().route());
        Duration partOfRun = Duration.ofNanos((long) (runNanos * MAX_CACHE_WAIT_RUNS));
        return runNanos > 0 && partOfRun.compareTo(usual) < 0 ? partOfRun : usual;
    }

    @Override
    public Optional<Duration> retryDelayAfterWait(QueuedRequest request) {
        if (!isActive() || request.facts().mayHaveRun()) {
            return Optional.empty();
        }
        ServiceState state = state(request);
        Admission.Refuse refusal = admission.refuseWaited(admissionRequest(request), state, now());
        reports.recordRefusal(request, refusal, state);
        return Optional.of(refusal.retryAfter());
    }

    @Override
    public void onQueued(QueueEntry entry, long nowNanos) {
        QueuedRequest request = entry.request();
        RequestFacts facts = request.facts();
        if (facts.attempts() == 0) {
            OptionalLong left = facts.programDeadlineNanos().stream()
                    .map(each -> each - nowNanos)
                    .findAny();
            durations.recordArrival(facts.route(), request.isInProgress(), left);
        }
        waiting.put(request, new Queued(view(request, entry.arrival()), nowNanos));
        reports.addWaiting(request.service(), request.priority(), 1);
    }

    @Override
    public void onWithdrawn(QueuedRequest request) {
        if (waiting.remove(request) != null) {
            reports.addWaiting(request.service(), request.priority(), -1);
        }
    }

    @Override
    public void onAssigned(QueuedRequest request, long nowNanos) {
        Queued queued = waiting.remove(request);
        String service = request.service();
        Set<Integer> waitingRanks =
                othersWaiting(request).map(WaitingRequest::rank).collect(Collectors.toSet());
        floors.recordAssigned(service, request.priority(), waitingRanks);
        shares.recordAssigned(service, request.facts().team(), nowNanos);
        usage.drainRate(service).recordAssigned(request.priority(), nowNanos);
        assignedNanos.put(request, nowNanos);
        reports.addWaiting(service, request.priority(), -1);
        reports.addRunning(service, request.priority(), 1);
        reports.recordActualWait(Duration.ofNanos(nowNanos - queued.sinceNanos()));
    }

    @Override
    public void onAttemptEnded(QueuedRequest request, AttemptEnd end, long nowNanos) {
        Long sinceNanos = assignedNanos.remove(request);
        if (sinceNanos == null) {
            // Assigned before the control was installed.
            return;
        }
        usage.drainRate(request.service()).recordReleased(end != AttemptEnd.NOT_RUN, nowNanos);
        if (end == AttemptEnd.COMPLETE) {
            durations.recordRun(request.facts().route(), nowNanos - sinceNanos);
        }
        reports.addRunning(request.service(), request.priority(), -1);
        if (isActive()) {
            reports.recordState(request.service(), state(request), nowNanos);
        }
    }

    private AdmissionRequest admissionRequest(QueuedRequest request) {
        RequestFacts facts = request.facts();
        WaitingRequest view = view(request, Long.MAX_VALUE);
        List<WaitingRequest> others = othersWaiting(request).toList();
        Set<String> teams = Stream.concat(others.stream().map(WaitingRequest::team), Stream.of(view.team()))
                .collect(Collectors.toSet());
        return new AdmissionRequest(
                view.service(),
                programKey(facts),
                view.rank(),
                view.started(),
                view.returned(),
                shares.belowShare(view.service(), teams, now()).contains(view.team()),
                facts.streaming(),
                QueueOrder.countAhead(others, view, now(), shares),
                view.programDeadlineNanos(),
                view.deadlineNanos(),
                durations.runNanos(facts.route()),
                view.neededNanos());
    }

    private WaitingRequest view(QueuedRequest request, long arrival) {
        RequestFacts facts = request.facts();
        boolean started = request.isInProgress();
        return new WaitingRequest(
                request.service(),
                facts.team(),
                request.priority(),
                started,
                !started && returns.isDue(programKey(facts), now()),
                facts.programDeadlineNanos(),
                facts.deadlineNanos(),
                durations.neededNanos(facts.route(), started),
                arrival);
    }

    /** A request without a program cannot be recognized when it returns; its key only keeps it apart from others. */
    private static long programKey(RequestFacts facts) {
        return ReturnSchedule.programKey(facts.owner() + (facts.program().isEmpty() ? facts.id() : facts.program()));
    }

    /** Returns the other requests that wait for the service of a request. */
    private Stream<WaitingRequest> othersWaiting(QueuedRequest request) {
        return waiting.entrySet().stream()
                .filter(each -> !each.getKey().equals(request))
                .map(each -> each.getValue().view())
                .filter(each -> each.service().equals(request.service()));
    }

    /** Returns the state of a request's service, without the request itself. */
    private ServiceState state(QueuedRequest request) {
        String service = request.service();
        int bestRank =
                registry.manifest().map(each -> each.bestPriority(service)).orElse(0);
        Map<Integer, Integer> ownWaiting = othersWaiting(request)
                .collect(Collectors.groupingBy(WaitingRequest::rank, Collectors.summingInt(each -> 1)));
        return usage.state(
                service,
                request.priority(),
                settings.floorShare(),
                bestRank,
                ownWaiting,
                peersWaiting.apply(service),
                now());
    }

    private long now() {
        return nanos.getAsLong();
    }
}
