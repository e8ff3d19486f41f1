package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.placement.QuotaCharge;
import org.parsleydrift.placement.QuotaCoordinators;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.placement.QuotaPolicy;
import org.parsleydrift.placement.QuotaRequest;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Team;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Failures while nodes ask each other for charges to quotas; frames take 1 ms, and usage is not reported. */
public class QuotaExchangeTest {
    private static final Team TEAM = new Team("t", OptionalInt.empty(), new Quota(10, 20));
    private static final QuotaPolicy POLICY = new QuotaPolicy(Duration.ofSeconds(5), 10, 0.1);
    private static final QuotaRequest REQUEST = new QuotaRequest(true, true);
    /** Limit of the recent half of the window: half of the rate, the burst and the tolerance. */
    private static final int LIMIT = 55;
    /** A tenth of the 70 requests of the quota, and half of the tolerance, for each of two successors. */
    private static final int PROVISIONAL_LIMIT = 6;

    private final Map<String, Member> members = new TreeMap<>();
    private ManualScheduler time;
    private Predicate<byte[]> lost;

    private final class Member implements FrameSender {
        private final ManualEventLoop loop = time.newLoop();
        private final NodeIdentity identity;
        private final List<QuotaDecision> decisions = new ArrayList<>();
        private List<String> live = List.of("a", "b", "c", "d");
        private QuotaTracker tracker;
        private QuotaExchange exchange;

        private Member(String name) {
            this.identity = new NodeIdentity(name, "z", name + ":80", name);
            restart();
        }

        private void restart() {
            tracker = new QuotaTracker(time::nanos, new Random(1), POLICY, () -> true);
            exchange = new QuotaExchange(
                    loop,
                    this,
                    identity,
                    time.nanos(),
                    tracker,
                    POLICY.window(),
                    () -> live.stream().map(each -> members.get(each).identity).toList(),
                    () -> true,
                    new SimpleMeterRegistry());
            loop.execute(exchange::start);
        }

        private void request() {
            exchange.acquire(TEAM, REQUEST, decisions::add);
        }

        private List<QuotaCharge> charges() {
            return decisions.stream()
                    .filter(QuotaDecision.Allowed.class::isInstance)
                    .map(each -> ((QuotaDecision.Allowed) each).charge().orElseThrow())
                    .toList();
        }

        private int counted() {
            return tracker.report().teams().containsKey(TEAM.name())
                    ? tracker.report().teams().get(TEAM.name()).sent().total()
                    : 0;
        }

        @Override
        public void send(String address, byte[] frame) {
            Member to = members.get(address);
            if (!lost.test(frame)) {
                to.loop.schedule(Duration.ofMillis(1), () -> to.exchange.receive(frame));
            }
        }

        @Override
        public void reset(String address) {}
    }

    @BeforeMethod
    public void begin() {
        members.clear();
        time = new ManualScheduler();
        lost = frame -> false;
        List.of("a", "b", "c", "d").forEach(each -> members.put(each, new Member(each)));
        advance(6000);
    }

    private List<Member> ranked() {
        QuotaCoordinators coordinators = new QuotaCoordinators("a");
        coordinators.update(members.keySet(), 0);
        return coordinators.candidates(TEAM.name()).stream().map(members::get).toList();
    }

    /** Returns the node that is not asked by any other. */
    private Member requester() {
        return members.values().stream()
                .filter(each -> !ranked().contains(each))
                .findFirst()
                .orElseThrow();
    }

    private void advance(int millis) {
        time.advance(Duration.ofMillis(millis));
    }

    private int granted() {
        return members.values().stream().mapToInt(each -> each.charges().size()).sum();
    }

    /** Guards against nodes that each admit a part of a sudden demand. */
    @Test
    public void demandAtAllNodesIsCountedAtOne() {
        IntStream.range(0, 2 * LIMIT).forEach(any -> members.values().forEach(Member::request));
        advance(20);
        assertEquals(granted(), LIMIT);
        assertEquals(ranked().getFirst().counted(), LIMIT);
        assertEquals(requester().decisions.size(), 2 * LIMIT);
    }

    /** Guards against a second grant of the quota after the end of a coordinator whose grants were not reported. */
    @Test
    public void successorAdmitsWithinTheTolerance() {
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(20);
        ranked().getFirst().loop.pause();
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(299);
        assertEquals(requester().charges().size(), LIMIT);
        advance(20);
        assertEquals(requester().decisions.size(), 2 * LIMIT);
        assertEquals(requester().charges().size(), LIMIT + PROVISIONAL_LIMIT);
    }

    /** Guards against a window over the tolerance if the coordinator and its successor fall silent one after the other. */
    @Test
    public void successorsTogetherAdmitWithinTheTolerance() {
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(20);
        ranked().getFirst().loop.pause();
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(320);
        ranked().get(1).loop.pause();
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(640);
        assertEquals(requester().decisions.size(), 3 * LIMIT);
        assertEquals(requester().charges().size(), LIMIT + 2 * PROVISIONAL_LIMIT);
    }

    /** A request that no node decides on must be answered as undetermined, not held until its deadline. */
    @Test
    public void requestWithoutAnyAnswerIsUndetermined() {
        lost = frame -> true;
        requester().request();
        advance(1000);
        assertEquals(requester().decisions, List.of(new QuotaDecision.Undetermined()));
    }

    /** Guards against a charge that stays though its answer came too late. */
    @Test
    public void lateGrantIsRefunded() {
        Member coordinator = ranked().getFirst();
        coordinator.loop.pause();
        requester().request();
        advance(310);
        coordinator.loop.resume();
        advance(10);
        assertEquals(coordinator.counted(), 0);
        assertEquals(requester().charges().size(), 1);
    }

    /** Restarts the coordinator, which hears from peers that have run for longer. */
    private Member restartCoordinator() {
        Member coordinator = ranked().getFirst();
        coordinator.restart();
        coordinator.tracker.updatePeers(members.values().stream()
                .filter(each -> each != coordinator)
                .collect(Collectors.toMap(each -> each.identity.name(), each -> each.tracker.report())));
        return coordinator;
    }

    /** A node that was restarted within the window must leave the decision to one that knows more. */
    @Test
    public void restartedCoordinatorDeclines() {
        Member coordinator = restartCoordinator();
        requester().request();
        advance(10);
        assertEquals(requester().charges().size(), 1);
        assertEquals(coordinator.counted(), 0);
        assertEquals(ranked().get(1).counted(), 1);
    }

    /** Guards against requests rejected below the quota for as long as a restarted coordinator leaves the decision to others. */
    @Test
    public void successorOfDecliningCoordinatorGrantsTheQuota() {
        Member coordinator = restartCoordinator();
        requester().request();
        advance(1000);
        IntStream.range(0, 2 * PROVISIONAL_LIMIT).forEach(any -> requester().request());
        advance(20);
        assertEquals(requester().charges().size(), 1 + 2 * PROVISIONAL_LIMIT);
        assertEquals(coordinator.counted(), 0);
    }

    /** Guards against a second grant of the quota when a coordinator decides again after others did so for it. */
    @Test
    public void coordinatorAdmitsWithinTheToleranceAfterItHasDeclined() {
        Member coordinator = restartCoordinator();
        advance(4900);
        requester().request();
        advance(150);
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(20);
        assertEquals(coordinator.counted(), PROVISIONAL_LIMIT);
        advance(1000);
        IntStream.range(0, LIMIT).forEach(any -> requester().request());
        advance(20);
        assertEquals(coordinator.counted(), LIMIT);
    }

    /** Guards against a draining node that decides itself, as the candidate that has declined is gone. */
    @Test
    public void nodeIsNoSubstituteForOneThatHasDeclinedAndLeft() {
        restartCoordinator();
        ranked().subList(1, 3).forEach(each -> each.loop.pause());
        requester().request();
        advance(200);
        requester().live = ranked().subList(1, 3).stream()
                .map(each -> each.identity.name())
                .toList();
        advance(1000);
        assertEquals(requester().counted(), 0);
        assertEquals(requester().decisions.size(), 1);
    }

    /** Guards against teams that nobody decides on because all candidates were restarted. */
    @Test
    public void firstCandidateDecidesIfAllDecline() {
        Member observer = requester();
        ranked().forEach(each -> {
            each.restart();
            each.tracker.updatePeers(Map.of("observer", observer.tracker.report()));
        });
        advance(1000);
        observer.request();
        advance(20);
        assertEquals(observer.decisions.size(), 1);
        assertFalse(observer.decisions.getFirst() instanceof QuotaDecision.Undetermined);
    }

    /** A request that was not run must be refunded where it was counted; a retry must be counted again. */
    @Test
    public void refundsAndRetriesReachTheCoordinator() {
        requester().request();
        requester().request();
        advance(10);
        List<QuotaCharge> charges = requester().charges();
        charges.getFirst().refund();
        charges.getFirst().refund();
        charges.get(1).chargeAgain();
        advance(10);
        assertEquals(ranked().getFirst().counted(), 2);
    }

    /** Guards against a request that is sent after a wait, while its charge has expired. */
    @Test
    public void chargeIsDatedAtTheSend() {
        requester().request();
        advance(4000);
        requester().charges().getFirst().recordSend();
        advance(2000);
        assertEquals(ranked().getFirst().counted(), 1);
        advance(4000);
        assertEquals(ranked().getFirst().counted(), 0);
    }

    /** A malformed frame must be dropped without an exception, which would close the connection. */
    @Test
    public void malformedFramesAreDropped() {
        Member node = requester();
        assertTrue(node.exchange.receive(new byte[] {QuotaFrame.ACQUIRE, 1, 2}));
        byte[] negativeQuota = new QuotaFrame.Charge(new Team("t", OptionalInt.empty(), new Quota(-1, 0))).encode();
        assertTrue(node.exchange.receive(negativeQuota));
        assertEquals(node.counted(), 0);
        assertFalse(node.exchange.receive(new byte[] {14}));
    }
}
