package org.parsleydrift.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Team;

/**
 * Simulation of entry nodes that share one team's quota, on virtual time. Nodes exchange usage reports with a delay, and
 * know as live the nodes whose reports arrive; programs send their requests to random nodes, which ask the team's
 * coordinator, and retry after a rejection.
 */
final class QuotaFleet {
    static final Duration WINDOW = Duration.ofSeconds(5);
    static final QuotaPolicy POLICY = new QuotaPolicy(WINDOW, 20, 0.1);
    private static final long MILLI = 1_000_000;
    private static final int REPORT_INTERVAL_MILLIS = 160;

    private static final int REPORT_DELAY_MILLIS = 240;
    /** Time without reports after which a peer's usage is dropped. */
    private static final int REPORT_EXPIRY_MILLIS = 1600;

    private static final int REQUESTS_PER_PROGRAM = 10;
    private static final int REQUEST_INTERVAL_MILLIS = 150;
    private static final int MAX_RETRIES = 2;
    private static final int SINGLE_REQUEST_STEP = -1;

    final Team team;
    private final Random random;
    private final Node[] nodes;
    private final PriorityQueue<Request> scheduled =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
    private final List<SentReport> inTransit = new ArrayList<>();
    private final Deque<Long> sentTimes = new ArrayDeque<>();
    private final Deque<Long> startTimes = new ArrayDeque<>();
    long nowMillis;
    int maxInWindow;
    int attempts;
    int rejected;
    int rejectedBelowLimit;
    String rejectionDetails = "";
    int programsStarted;
    int programsCompleted;

    /** A request of a program; one outside any program has a negative step. */
    private record Request(long atMillis, int step, int retries) {
        private boolean isInProgram() {
            return step >= 0;
        }
    }

    private record SentReport(long arrivalMillis, int reporter, UsageReport report) {}

    /** One node of the fleet. */
    private final class Node {
        private final int number;
        private QuotaTracker quotas;
        private QuotaCoordinators coordinators;
        private long upMillis;
        private boolean partitioned;
        private final Map<Integer, Long> lastReports = new HashMap<>();

        private Node(int number, long upMillis) {
            this.number = number;
            restart(upMillis);
        }

        private void restart(long at) {
            upMillis = at;
            lastReports.clear();
            quotas = new QuotaTracker(() -> nowMillis * MILLI, random, POLICY, this::knowsPeerUsage);
            coordinators = new QuotaCoordinators(name(number));
        }

        private boolean knowsPeerUsage() {
            return !partitioned && !lastReports.isEmpty();
        }

        /** Asks the candidates in turn, as {@code QuotaExchange} does; those that are down do not answer. */
        private QuotaDecision acquire(QuotaRequest request) {
            if (!knowsPeerUsage()) {
                return new QuotaDecision.Undetermined();
            }
            List<Node> answering = coordinators.candidates(team.name()).stream()
                    .map(each -> nodes[Integer.parseInt(each)])
                    .filter(each -> each.isUp() && each.knowsPeerUsage())
                    .toList();
            boolean allAnswer =
                    answering.size() == coordinators.candidates(team.name()).size();
            return answering.stream()
                    .filter(each -> each.quotas.hasObservedWindow())
                    .findFirst()
                    .or(() -> answering.stream().findFirst())
                    .map(each -> each.decide(request, allAnswer && each != answering.getFirst()))
                    .orElseGet(QuotaDecision.Undetermined::new);
        }

        private QuotaDecision decide(QuotaRequest request, boolean precedingDeclined) {
            return quotas.acquire(
                    team, request, coordinators.decide(team.name(), precedingDeclined, nowMillis * MILLI));
        }

        private boolean isUp() {
            return nowMillis >= upMillis;
        }
    }

    QuotaFleet(int nodeCount, double rate, long seed) {
        team = new Team("t", OptionalInt.empty(), new Quota(rate, rate));
        random = new Random(seed);
        nodes = new Node[nodeCount];
        // Runs for longer than the window, so that no part of it is unobserved when the traffic starts.
        nowMillis = 0;
        IntStream.range(0, nodeCount).forEach(each -> nodes[each] = new Node(each, 0));
        run(10_000, 0);
    }

    /** Advances the time under a demand in requests per second, counting all requests of each program. */
    void run(int millis, double demand) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            if (random.nextDouble() < demand / REQUESTS_PER_PROGRAM / 1000) {
                scheduled.add(new Request(nowMillis, 0, 0));
            }
            while (!scheduled.isEmpty() && scheduled.peek().atMillis <= nowMillis) {
                send(scheduled.poll());
            }
            if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
                sendReports();
            }
            deliverReports();
            nowMillis++;
        }
    }

    /** Lets callers send single requests at the same moment; each comes back once when rejected. */
    void surge(int callers) {
        IntStream.range(0, callers)
                .forEach(each -> scheduled.add(new Request(nowMillis, SINGLE_REQUEST_STEP, MAX_RETRIES - 1)));
    }

    /** Restarts a share of the nodes, which lose their counts. */
    void restart(double share, int downMillis) {
        IntStream.range(0, (int) Math.round(share * nodes.length))
                .forEach(each -> nodes[each].restart(nowMillis + downMillis));
    }

    /** Partitions a share of the nodes from their peers, or ends the partition; callers still reach them. */
    void partition(double share, boolean partitioned) {
        IntStream.range(0, (int) Math.round(share * nodes.length))
                .forEach(each -> nodes[each].partitioned = partitioned);
    }

    /** Returns the maximum number of requests in any window that the quota tolerates. */
    double maxRequests() {
        return team.quota().maxRequests(WINDOW.toMillis() / 1000.0) * 1.1 + 20;
    }

    private void send(Request request) {
        List<Node> up = IntStream.range(0, nodes.length)
                .mapToObj(each -> nodes[each])
                .filter(Node::isUp)
                .toList();
        if (up.isEmpty()) {
            scheduleRetry(request, 300 + random.nextInt(150));
            return;
        }
        Node node = up.get(random.nextInt(up.size()));
        attempts++;
        switch (node.acquire(new QuotaRequest(request.step > 0, request.isInProgram()))) {
            case QuotaDecision.Allowed ignored -> recordSent(request);
            case QuotaDecision.Exceeded exceeded -> {
                rejected++;
                if (isBelowLimit(request)) {
                    rejectedBelowLimit++;
                    rejectionDetails += " " + nowMillis + ":" + request.step + " sent " + sentTimes.size() + " started "
                            + startTimes.size() + " " + node.quotas.report().teams();
                }
                scheduleRetry(request, (int) (exceeded.retryAfter().toMillis() * (1 + random.nextDouble() / 2)));
            }
            case QuotaDecision.Undetermined ignored -> scheduleRetry(request, 300 + random.nextInt(150));
        }
    }

    /** Returns whether the requests in the window and those of the programs started in it leave room for one more. */
    private boolean isBelowLimit(Request request) {
        dropExpired(sentTimes);
        dropExpired(startTimes);
        double limit = team.quota().maxRequests(WINDOW.toMillis() / 1000.0);
        boolean programs = request.step != 0 || (startTimes.size() + 1) * REQUESTS_PER_PROGRAM <= limit;
        return programs && sentTimes.size() + 1 <= limit;
    }

    private void dropExpired(Deque<Long> times) {
        while (!times.isEmpty() && nowMillis - times.peek() >= WINDOW.toMillis()) {
            times.poll();
        }
    }

    private void recordSent(Request request) {
        sentTimes.add(nowMillis);
        dropExpired(sentTimes);
        maxInWindow = Math.max(maxInWindow, sentTimes.size());
        if (request.step == 0) {
            programsStarted++;
            startTimes.add(nowMillis);
        }
        if (!request.isInProgram()) {
            return;
        }
        if (request.step + 1 < REQUESTS_PER_PROGRAM) {
            scheduled.add(new Request(nowMillis + REQUEST_INTERVAL_MILLIS, request.step + 1, 0));
        } else {
            programsCompleted++;
        }
    }

    private void scheduleRetry(Request request, int afterMillis) {
        if (request.retries < MAX_RETRIES) {
            scheduled.add(new Request(nowMillis + afterMillis, request.step, request.retries + 1));
        }
    }

    private void sendReports() {
        IntStream.range(0, nodes.length)
                .filter(each -> nodes[each].isUp() && !nodes[each].partitioned)
                .forEach(each -> inTransit.add(
                        new SentReport(nowMillis + REPORT_DELAY_MILLIS, each, nodes[each].quotas.report())));
    }

    private void deliverReports() {
        Map<Integer, UsageReport> arrived = new HashMap<>();
        while (!inTransit.isEmpty() && inTransit.getFirst().arrivalMillis <= nowMillis) {
            SentReport each = inTransit.removeFirst();
            arrived.put(each.reporter, each.report);
        }
        boolean checksExpiry = nowMillis % REPORT_INTERVAL_MILLIS == 0;
        if (arrived.isEmpty() && !checksExpiry) {
            return;
        }
        IntStream.range(0, nodes.length)
                .filter(each -> nodes[each].isUp() && !nodes[each].partitioned)
                .forEach(each -> deliver(each, arrived));
    }

    private void deliver(int self, Map<Integer, UsageReport> arrived) {
        Node node = nodes[self];
        Map<String, UsageReport> reports = new HashMap<>();
        arrived.forEach((reporter, report) -> {
            if (reporter != self) {
                node.lastReports.put(reporter, nowMillis);
                reports.put(name(reporter), report);
            }
        });
        node.lastReports.entrySet().removeIf(each -> {
            boolean expired = nowMillis - each.getValue() > REPORT_EXPIRY_MILLIS;
            if (expired) {
                reports.put(name(each.getKey()), UsageReport.NONE);
            }
            return expired;
        });
        node.quotas.updatePeers(reports);
        Set<String> live = new HashSet<>(Set.of(name(self)));
        node.lastReports.keySet().forEach(each -> live.add(name(each)));
        node.coordinators.update(live, nowMillis * MILLI);
    }

    private static String name(int node) {
        return String.valueOf(node);
    }
}
