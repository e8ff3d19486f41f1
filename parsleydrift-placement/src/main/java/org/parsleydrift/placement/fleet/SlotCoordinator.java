package org.parsleydrift.placement.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.RunnerChoice;
import org.parsleydrift.placement.TypicalRequest;
import org.parsleydrift.registry.Runner;

/**
 * Grants the slots of a group of runners to the best requests that wait at any node. It counts the requests at each
 * runner from the complete state that each node last reported, and its own grants that these reports do not contain
 * yet. All messages carry complete state, so a lost, repeated or outdated one does no harm.
 *
 * <p>A coordinator holds soft state only. A started one grants nothing until all nodes have had the time to report and
 * all grants of its predecessor have expired. A node reports to every coordinator that it has had within
 * {@link #REPORT_TIMEOUT}, and reports unused grants of other coordinators too. Two coordinators at once therefore exceed
 * the slots at most by what they grant between two reports.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class SlotCoordinator {
    /** Time for which a grant may be used; several times the delay of a message between zones. */
    static final Duration GRANT_VALIDITY = Duration.ofMillis(100);
    /** Time after its start during which a coordinator grants nothing. */
    static final Duration START_DELAY = Duration.ofMillis(300);
    /** Time without a report after which the requests of a node are no longer counted. */
    static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
    /** Requests in a row that find no runner after which the remaining ones of the round are not tried. */
    private static final int MAX_FAILED_REQUESTS = 24;

    /** Weight of the latest grant in the moving average of uncached tokens. */
    private static final double UNCACHED_MEAN_WEIGHT = 0.05;

    private static final double INITIAL_UNCACHED_TOKENS = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final Comparator<Waiting> BEST_FIRST = Comparator.<Waiting>comparingInt(
                    each -> each.request().rank())
            .thenComparing(each -> !each.request().started())
            .thenComparingLong(Waiting::sinceNanos)
            .thenComparing(each -> each.key().request());

    private final String name;
    private final LongSupplier nanos;
    private final RandomGenerator random;
    private final long startNanos;
    private final Map<String, Received> reports = new HashMap<>();
    private final Map<Key, Granted> granted = new HashMap<>();
    private List<Runner> runners = List.of();
    private double typicalUncached = INITIAL_UNCACHED_TOKENS;

    private record Received(SlotReport report, long atNanos) {}

    private record Key(String node, String request) {}

    private record Granted(String incarnation, long expiresNanos) {}

    private record Waiting(Key key, SlotRequest request, long sinceNanos) {}

    /**
     * Creates a coordinator without any reports.
     *
     * @param name name of its node
     * @param nanos monotonic clock, ns
     * @param random source of randomness for sampling and ties
     */
    public SlotCoordinator(String name, LongSupplier nanos, RandomGenerator random) {
        this.name = name;
        this.nanos = nanos;
        this.random = random;
        this.startNanos = nanos.getAsLong();
    }

    /**
     * Chooses the coordinator of a group of runners by rendezvous hashing, so that a change of the nodes moves few
     * groups. Nodes of the group's zone come before others.
     *
     * @param group name of the group
     * @param localNodes names of the ready nodes in the zone of the group
     * @param otherNodes names of the ready nodes in other zones
     * @return name of the coordinator; empty without nodes
     */
    public static Optional<String> choose(String group, List<String> localNodes, List<String> otherNodes) {
        return (localNodes.isEmpty() ? otherNodes : localNodes)
                .stream().max(Comparator.comparingLong(each -> HASH.hashChars(group + '/' + each)));
    }

    /**
     * Replaces the runners of the group.
     *
     * @param present runners that accept new requests
     */
    public void setRunners(List<Runner> present) {
        runners = List.copyOf(present);
    }

    /**
     * Receives the state of a node. An older or repeated report is ignored.
     *
     * @param report the state
     */
    public void receive(SlotReport report) {
        Received known = reports.get(report.node());
        if (known != null && !report.isNewerThan(known.report())) {
            return;
        }
        boolean restarted = known != null && known.report().session() != report.session();
        reports.put(report.node(), new Received(report, nanos.getAsLong()));
        // A granted request that no longer waits was sent, and is contained in the report, or has ended.
        granted.keySet()
                .removeIf(
                        each -> each.node().equals(report.node()) && (restarted || !report.isWaiting(each.request())));
    }

    /**
     * Grants free slots to waiting requests.
     *
     * @return the unused grants of each node that has reported, to be sent to all of them; empty after the start, so
     *     that nodes decide by their own view until this coordinator knows their requests
     */
    public List<SlotGrants> decide() {
        long now = nanos.getAsLong();
        reports.values().removeIf(each -> now - each.atNanos() > REPORT_TIMEOUT.toNanos());
        granted.values().removeIf(each -> now - each.expiresNanos() >= 0);
        if (now - startNanos < START_DELAY.toNanos()) {
            return List.of();
        }
        grantFreeSlots(now);
        Map<String, List<SlotGrants.Grant>> byNode = granted.entrySet().stream()
                .collect(Collectors.groupingBy(
                        each -> each.getKey().node(),
                        Collectors.mapping(each -> message(each, now), Collectors.toList())));
        return reports.values().stream()
                .map(Received::report)
                .map(each -> new SlotGrants(
                        name,
                        each.node(),
                        each.session(),
                        each.sequence(),
                        byNode.getOrDefault(each.node(), List.of())))
                .toList();
    }

    private void grantFreeSlots(long now) {
        Map<String, Integer> loads = loads();
        int failed = 0;
        for (Waiting each : waitingWithoutGrant()) {
            Optional<Candidate> chosen = choose(each.request(), loads);
            chosen.ifPresent(runner -> {
                String incarnation = runner.runner().incarnation();
                loads.merge(incarnation, 1, Integer::sum);
                granted.put(each.key(), new Granted(incarnation, now + GRANT_VALIDITY.toNanos()));
                if (each.request().promptTokens() > 0) {
                    typicalUncached += UNCACHED_MEAN_WEIGHT * (runner.uncachedTokens() - typicalUncached);
                }
            });
            failed = chosen.isPresent() ? 0 : failed + 1;
            if (failed >= MAX_FAILED_REQUESTS) {
                return;
            }
        }
    }

    private Optional<Candidate> choose(SlotRequest request, Map<String, Integer> loads) {
        List<Candidate> candidates = runners.stream()
                .map(each -> new Candidate(
                        each,
                        loads.getOrDefault(each.incarnation(), 0),
                        false,
                        false,
                        request.uncachedTokens(each.incarnation())))
                .toList();
        return RunnerChoice.choose(
                candidates,
                new TypicalRequest(request.promptTokens() > 0 ? typicalUncached : 0, 0),
                request.anyRunner(),
                0,
                random);
    }

    /** Returns the requests at each runner: those reported, and those that may arrive by unused grants. */
    private Map<String, Integer> loads() {
        Map<String, Integer> loads = new HashMap<>();
        granted.values().forEach(each -> loads.merge(each.incarnation(), 1, Integer::sum));
        reports.values().forEach(each -> {
            SlotReport report = each.report();
            report.open().forEach((incarnation, count) -> loads.merge(incarnation, count, Integer::sum));
            report.held().forEach((request, incarnation) -> {
                if (!granted.containsKey(new Key(report.node(), request))) {
                    loads.merge(incarnation, 1, Integer::sum);
                }
            });
        });
        return loads;
    }

    private List<Waiting> waitingWithoutGrant() {
        return reports.values().stream()
                .flatMap(each -> each.report().waiting().stream()
                        .filter(request -> !each.report().held().containsKey(request.id()))
                        .map(request -> new Waiting(
                                new Key(each.report().node(), request.id()),
                                request,
                                each.atNanos() - request.waitedMillis() * NANOS_PER_MILLI)))
                .filter(each -> !granted.containsKey(each.key()))
                .sorted(BEST_FIRST)
                .toList();
    }

    private static SlotGrants.Grant message(Map.Entry<Key, Granted> granted, long now) {
        return new SlotGrants.Grant(
                granted.getKey().request(),
                granted.getValue().incarnation(),
                (granted.getValue().expiresNanos() - now) / NANOS_PER_MILLI);
    }
}
