package org.parsleydrift.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Tracks the runners that were lost under each piece of work, over all attempts and all nodes, and decides when the work
 * must not be sent to another one. Each runner counts once for a piece of work, and no longer once it answers on a connection
 * that was established after the loss: then it has only broken off its response. Connections may outlive the listener of a
 * process that ends, so answers on older ones show this only for a runner that was silent.
 *
 * <p>Memory is bounded: beyond {@link #MAX_WORKS}, the work whose last loss is the oldest is forgotten. Not thread-safe.
 */
public final class RunnerLossTracker {
    /** Number of lost runners from which on work is rejected. */
    public static final int MAX_LOST_RUNNERS = 3;
    /** Maximum number of pieces of work that are tracked. */
    public static final int MAX_WORKS = 8192;

    /** Time after the last loss or rejection after which work is forgotten; covers all attempts of a caller. */
    private static final Duration EXPIRY = Duration.ofSeconds(60);
    /** Time after an unanswered request within which a failure to connect shows that the runner has ended. */
    private static final Duration SILENCE_EXPIRY = Duration.ofSeconds(5);
    /** Maximum number of runners whose unanswered requests are tracked. */
    private static final int MAX_SILENT_RUNNERS = 1024;
    /** Maximum number of unanswered requests of a runner that are tracked. */
    private static final int MAX_SILENCES_PER_RUNNER = 16;

    private final Map<WorkKey, Losses> works = new LinkedHashMap<>();
    private final Map<Long, Set<WorkKey>> worksByRunner = new HashMap<>();
    /** Times of unanswered requests, ns, by runner and work, those of the runner with the newest one last. */
    private final Map<Long, Map<WorkKey, Long>> silences = new LinkedHashMap<>();

    private int rejectedWorks;

    /**
     * Loss of one runner under one piece of work.
     *
     * @param evidence the strongest evidence
     * @param nanos time at which it became known, ns
     */
    private record Loss(LossEvidence evidence, long nanos) {}

    /** Lost runners of one piece of work. */
    private static final class Losses {
        private final Map<Long, Loss> runners = new HashMap<>();
        private long lastNanos;

        private boolean areAtLimit() {
            return runners.size() >= MAX_LOST_RUNNERS;
        }
    }

    /**
     * Records a runner whose connection was lost.
     *
     * @param loss the loss
     * @param nowNanos monotonic time, ns
     * @return false if the loss was known
     */
    public boolean record(RunnerLoss loss, long nowNanos) {
        return record(loss, LossEvidence.CONNECTION_LOST, nowNanos);
    }

    /**
     * Records a lost runner, or stronger evidence for a known loss.
     *
     * @param loss the loss
     * @param evidence what suggests it
     * @param nowNanos monotonic time, ns
     * @return false if the loss was known
     */
    public boolean record(RunnerLoss loss, LossEvidence evidence, long nowNanos) {
        removeExpired(nowNanos);
        Losses losses = works.remove(loss.work());
        if (losses == null) {
            losses = new Losses();
        }
        boolean wasAtLimit = losses.areAtLimit();
        Loss known = losses.runners.get(loss.runner());
        if (known == null || known.evidence().compareTo(evidence) < 0) {
            losses.runners.put(loss.runner(), new Loss(evidence, nowNanos));
        }
        losses.lastNanos = nowNanos;
        works.put(loss.work(), losses);
        worksByRunner.computeIfAbsent(loss.runner(), any -> new HashSet<>()).add(loss.work());
        rejectedWorks += !wasAtLimit && losses.areAtLimit() ? 1 : 0;
        if (works.size() > MAX_WORKS) {
            forgetEldest();
        }
        return known == null;
    }

    /**
     * Returns whether a loss counts.
     *
     * @param loss the loss
     * @return true unless it is unknown, was taken back or has expired
     */
    public boolean contains(RunnerLoss loss) {
        Losses losses = works.get(loss.work());
        return losses != null && losses.runners.containsKey(loss.runner());
    }

    /**
     * Returns the runners that may not have ended although they count as lost.
     *
     * @param work key of the work
     * @return keys of the runners' incarnations
     */
    public List<Long> unconfirmedRunners(WorkKey work) {
        Losses losses = works.get(work);
        return losses == null
                ? List.of()
                : losses.runners.entrySet().stream()
                        .filter(each -> each.getValue().evidence() != LossEvidence.UNREACHABLE)
                        .map(Map.Entry::getKey)
                        .toList();
    }

    /**
     * Records a request that was cancelled before the end of its response. It does not count, but becomes a loss if the
     * runner turns out to be unreachable.
     *
     * @param request the work and the runner
     * @param nowNanos monotonic time, ns
     */
    public void recordSilence(RunnerLoss request, long nowNanos) {
        Map<WorkKey, Long> unanswered = silences.remove(request.runner());
        if (unanswered == null) {
            unanswered = new LinkedHashMap<>();
        }
        unanswered.put(request.work(), nowNanos);
        removeEldest(unanswered, MAX_SILENCES_PER_RUNNER);
        silences.put(request.runner(), unanswered);
        removeEldest(silences, MAX_SILENT_RUNNERS);
    }

    /**
     * Records that a runner could not be reached, which confirms its losses.
     *
     * @param runner key of the runner's incarnation
     * @param nowNanos monotonic time, ns
     * @return the losses that this shows beyond those, which are not recorded yet
     */
    public List<RunnerLoss> recordUnreachable(long runner, long nowNanos) {
        worksByRunner
                .getOrDefault(runner, Set.of())
                .forEach(each -> works.get(each).runners.put(runner, new Loss(LossEvidence.UNREACHABLE, nowNanos)));
        Map<WorkKey, Long> unanswered = silences.remove(runner);
        return unanswered == null
                ? List.of()
                : unanswered.entrySet().stream()
                        .filter(each -> nowNanos - each.getValue() <= SILENCE_EXPIRY.toNanos())
                        .map(each -> new RunnerLoss(each.getKey(), runner))
                        .toList();
    }

    /**
     * Records that a runner has answered a request, and takes back the losses that the answer disproves.
     *
     * @param runner key of the runner's incarnation
     * @param connectedNanos time at which the connection of the request was established, ns
     * @return the losses that were taken back
     */
    public List<RunnerLoss> recordAnswer(long runner, long connectedNanos) {
        silences.remove(runner);
        return takeBack(runner, each -> each.evidence() == LossEvidence.SILENCE || each.nanos() - connectedNanos < 0);
    }

    /**
     * Takes back the losses that only the silence of a runner suggests. They count again if the runner turns out to be
     * unreachable.
     *
     * @param runner key of the runner's incarnation
     * @param nowNanos monotonic time, ns
     * @return the losses that were taken back
     */
    public List<RunnerLoss> withdrawSilence(long runner, long nowNanos) {
        List<RunnerLoss> withdrawn = takeBack(runner, each -> each.evidence() == LossEvidence.SILENCE);
        withdrawn.forEach(each -> recordSilence(each, nowNanos));
        return withdrawn;
    }

    /**
     * Takes back a loss, if it is known.
     *
     * @param loss the loss
     */
    public void remove(RunnerLoss loss) {
        if (contains(loss)) {
            takeBack(loss.work(), loss.runner());
        }
    }

    private List<RunnerLoss> takeBack(long runner, Predicate<Loss> condition) {
        List<RunnerLoss> losses = worksByRunner.getOrDefault(runner, Set.of()).stream()
                .filter(each -> condition.test(works.get(each).runners.get(runner)))
                .map(each -> new RunnerLoss(each, runner))
                .toList();
        losses.forEach(this::remove);
        return losses;
    }

    /**
     * Returns whether nothing is tracked.
     *
     * @return true if there is no lost runner and no unanswered request
     */
    public boolean isEmpty() {
        return works.isEmpty() && silences.isEmpty();
    }

    /**
     * Returns whether there may be work to reject; if not, keys of requests need not be computed.
     *
     * @return true if some work is rejected
     */
    public boolean hasRejectedWork() {
        return rejectedWorks > 0;
    }

    /**
     * Returns whether work must not be sent to another runner. Work that is asked for again is not forgotten.
     *
     * @param work key of the work
     * @param nowNanos monotonic time, ns
     * @return true if as many runners were lost under it as may be
     */
    public boolean isRejected(WorkKey work, long nowNanos) {
        removeExpired(nowNanos);
        Losses losses = works.get(work);
        if (losses == null || !losses.areAtLimit()) {
            return false;
        }
        losses.lastNanos = nowNanos;
        works.remove(work);
        works.put(work, losses);
        return true;
    }

    /**
     * Returns the number of runners lost under a piece of work.
     *
     * @param work key of the work
     * @return number of runners
     */
    public int lostRunners(WorkKey work) {
        Losses losses = works.get(work);
        return losses == null ? 0 : losses.runners.size();
    }

    /**
     * Returns the number of pieces of work that are rejected.
     *
     * @return number of pieces of work
     */
    public int rejectedWorks() {
        return rejectedWorks;
    }

    /**
     * Returns the latest losses, for a node that has just started.
     *
     * @param most maximum number
     * @return the losses, those of the work that was lost last first
     */
    public List<RunnerLoss> latest(int most) {
        return new ArrayList<>(works.entrySet())
                .reversed().stream()
                        .flatMap(RunnerLossTracker::lossesOf)
                        .limit(most)
                        .toList();
    }

    private static Stream<RunnerLoss> lossesOf(Map.Entry<WorkKey, Losses> work) {
        return work.getValue().runners.keySet().stream().map(each -> new RunnerLoss(work.getKey(), each));
    }

    private void removeExpired(long nowNanos) {
        while (!works.isEmpty() && nowNanos - works.values().iterator().next().lastNanos > EXPIRY.toNanos()) {
            forgetEldest();
        }
    }

    private static <K> void removeEldest(Map<K, ?> ordered, int maxSize) {
        if (ordered.size() > maxSize) {
            ordered.remove(ordered.keySet().iterator().next());
        }
    }

    private void forgetEldest() {
        WorkKey eldest = works.keySet().iterator().next();
        Losses losses = works.get(eldest);
        List.copyOf(losses.runners.keySet()).forEach(each -> takeBack(eldest, each));
    }

    private void takeBack(WorkKey work, long runner) {
        Losses losses = works.get(work);
        boolean wasAtLimit = losses.areAtLimit();
        losses.runners.remove(runner);
        rejectedWorks -= wasAtLimit && !losses.areAtLimit() ? 1 : 0;
        if (losses.runners.isEmpty()) {
            works.remove(work);
        }
        Set<WorkKey> ofRunner = worksByRunner.get(runner);
        ofRunner.remove(work);
        if (ofRunner.isEmpty()) {
            worksByRunner.remove(runner);
        }
    }
}
