package org.parsleydrift.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Team;

/**
 * Entry nodes that share one team's allotment on virtual time. Each tells the others what it let pass, some tenths of a
 * second late; programs ask at nodes drawn by lot, go on after their first request, and come back after a refusal.
 */
final class AllotmentFleet {
    static final Duration WINDOW = Duration.ofSeconds(5);
    static final QuotaPolicy RULE = new QuotaPolicy(WINDOW, 20);
    private static final long MILLI = 1_000_000;
    /** Use at other nodes is this old at most: a hub's period, another hub's, and the way. */
    private static final int TELL_EVERY_MILLIS = 160;

    private static final int HEARD_AFTER_MILLIS = 240;
    /** A silent node's report is dropped after this long. */
    private static final int SILENT_MILLIS = 1600;

    private static final int PROGRAM_REQUESTS = 10;
    private static final int STEP_PAUSE_MILLIS = 150;
    private static final int MOST_RETURNS = 2;

    final Team team;
    private final Random random;
    private final Node[] nodes;
    private final PriorityQueue<Ask> due =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
    private final List<Told> told = new ArrayList<>();
    private final Deque<Long> ran = new ArrayDeque<>();
    private final Deque<Long> begun = new ArrayDeque<>();
    long nowMillis;
    int mostInWindow;
    int asked;
    int refused;
    int refusedBelow;
    String account = "";
    int programsBegun;
    int programsWhole;

    private record Ask(long atMillis, int step, int returns) {}

    private record Told(long heardMillis, int from, UsageReport report) {}

    /** One node; its peers' reports are in by name. */
    private final class Node {
        private QuotaTracker allotments;
        private long upMillis;
        private boolean cut;
        private final Map<Integer, Long> heard = new HashMap<>();

        private Node(long upMillis) {
            boot(upMillis);
        }

        private void boot(long at) {
            upMillis = at;
            heard.clear();
            allotments = new QuotaTracker(() -> nowMillis * MILLI, random, RULE, () -> !cut && !heard.isEmpty());
        }

        private boolean up() {
            return nowMillis >= upMillis;
        }
    }

    AllotmentFleet(int nodeCount, double rate, long seed) {
        team = new Team("t", OptionalInt.empty(), new Quota(rate, rate));
        random = new Random(seed);
        nodes = new Node[nodeCount];
        // Long up before the traffic starts.
        nowMillis = 0;
        IntStream.range(0, nodeCount).forEach(each -> nodes[each] = new Node(0));
        play(10_000, 0);
    }

    /** Lets time go on while the team asks for so many requests a second, programs counted at their whole need. */
    void play(int millis, double demand) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            if (random.nextDouble() < demand / PROGRAM_REQUESTS / 1000) {
                due.add(new Ask(nowMillis, 0, 0));
            }
            while (!due.isEmpty() && due.peek().atMillis <= nowMillis) {
                ask(due.poll());
            }
            if (nowMillis % TELL_EVERY_MILLIS == 0) {
                tell();
            }
            hear();
            nowMillis++;
        }
    }

    /** Ends a share of the nodes, which come back with nothing known. */
    void kill(double share, int downMillis) {
        IntStream.range(0, (int) Math.round(share * nodes.length))
                .forEach(each -> nodes[each].boot(nowMillis + downMillis));
    }

    /** Cuts a share of the nodes off from all others, or heals the cut; callers still reach them. */
    void cut(double share, boolean cut) {
        IntStream.range(0, (int) Math.round(share * nodes.length)).forEach(each -> nodes[each].cut = cut);
    }

    /** What may run in any window before the rule is broken. */
    double bound() {
        return team.quota().maxRequests(WINDOW.toMillis() / 1000.0) * 1.1 + 20;
    }

    private void ask(Ask ask) {
        List<Node> up = IntStream.range(0, nodes.length)
                .mapToObj(each -> nodes[each])
                .filter(Node::up)
                .toList();
        if (up.isEmpty()) {
            comeBack(ask, 300 + random.nextInt(150));
            return;
        }
        Node node = up.get(random.nextInt(up.size()));
        asked++;
        switch (node.allotments.acquire(team, ask.step > 0, true)) {
            case QuotaDecision.Allowed ignored -> runs(ask);
            case QuotaDecision.Exceeded over -> {
                refused++;
                if (belowLimit(ask)) {
                    refusedBelow++;
                    account += " " + nowMillis + ":" + ask.step + " ran " + ran.size() + " begun " + begun.size() + " "
                            + node.allotments.report().teams();
                }
                comeBack(ask, (int) (over.retryAfter().toMillis() * (1 + random.nextDouble() / 2)));
            }
            case QuotaDecision.Undetermined ignored -> comeBack(ask, 300 + random.nextInt(150));
        }
    }

    /** Whether all that runs in the window, and what the programs begun in it need, has room for one more. */
    private boolean belowLimit(Ask ask) {
        dropOld(ran);
        dropOld(begun);
        double most = team.quota().maxRequests(WINDOW.toMillis() / 1000.0);
        boolean programs = ask.step > 0 || (begun.size() + 1) * PROGRAM_REQUESTS <= most;
        return programs && ran.size() + 1 <= most;
    }

    private void dropOld(Deque<Long> times) {
        while (!times.isEmpty() && nowMillis - times.peek() >= WINDOW.toMillis()) {
            times.poll();
        }
    }

    private void runs(Ask ask) {
        ran.add(nowMillis);
        dropOld(ran);
        mostInWindow = Math.max(mostInWindow, ran.size());
        if (ask.step == 0) {
            programsBegun++;
            begun.add(nowMillis);
        }
        if (ask.step + 1 < PROGRAM_REQUESTS) {
            due.add(new Ask(nowMillis + STEP_PAUSE_MILLIS, ask.step + 1, 0));
        } else {
            programsWhole++;
        }
    }

    private void comeBack(Ask ask, int afterMillis) {
        if (ask.returns < MOST_RETURNS) {
            due.add(new Ask(nowMillis + afterMillis, ask.step, ask.returns + 1));
        }
    }

    private void tell() {
        IntStream.range(0, nodes.length)
                .filter(each -> nodes[each].up() && !nodes[each].cut)
                .forEach(each ->
                        told.add(new Told(nowMillis + HEARD_AFTER_MILLIS, each, nodes[each].allotments.report())));
    }

    private void hear() {
        Map<Integer, UsageReport> news = new HashMap<>();
        while (!told.isEmpty() && told.getFirst().heardMillis <= nowMillis) {
            Told each = told.removeFirst();
            news.put(each.from, each.report);
        }
        boolean looks = nowMillis % TELL_EVERY_MILLIS == 0;
        if (news.isEmpty() && !looks) {
            return;
        }
        IntStream.range(0, nodes.length)
                .filter(each -> nodes[each].up() && !nodes[each].cut)
                .forEach(each -> take(each, news));
    }

    private void take(int self, Map<Integer, UsageReport> news) {
        Node node = nodes[self];
        Map<String, UsageReport> reports = new HashMap<>();
        news.forEach((from, report) -> {
            if (from != self) {
                node.heard.put(from, nowMillis);
                reports.put("n" + from, report);
            }
        });
        node.heard.entrySet().removeIf(each -> {
            boolean silent = nowMillis - each.getValue() > SILENT_MILLIS;
            if (silent) {
                reports.put("n" + each.getKey(), UsageReport.NONE);
            }
            return silent;
        });
        node.allotments.updatePeers(reports);
    }
}
