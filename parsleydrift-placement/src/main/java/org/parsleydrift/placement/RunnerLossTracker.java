package org.parsleydrift.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Tracks the runners at which each piece of work was left unfinished, over all attempts and all nodes. A runner may end
 * under an attempt in more ways than a node can see, also after the attempt was cancelled, so no proof of its end is asked
 * for: each runner counts once for a piece of work, until the work is completed. Work at the limit is sent to no further
 * runner, only again to those that count.
 *
 * <p>Many callers may ask for {@linkplain WorkKey#isShared() shared} work without completing it. For it, a runner counts no
 * longer once it responds on a connection that was established later.
 *
 * <p>Memory is bounded: beyond {@link #MAX_WORKS}, the work whose last loss is the oldest is forgotten. Not thread-safe.
 */
public final class RunnerLossTracker {
    /** Number of runners at which work may be left unfinished. */
    public static final int MAX_LOST_RUNNERS = 3;
    /** Maximum number of pieces of work that are tracked. */
    public static final int MAX_WORKS = 8192;
    /** Time after the last loss or request after which work is forgotten; covers all attempts of a caller. */
    public static final Duration EXPIRY = Duration.ofSeconds(60);

    private final Map<WorkKey, Losses> works = new LinkedHashMap<>();
    private final Map<Long, Set<WorkKey>> sharedWorksByRunner = new HashMap<>();

    private int worksAtLimit;

    /** Runners that count for one piece of work, with the times since which they do, ns. */
    private static final class Losses {
        private final Map<Long, Long> runners = new HashMap<>();
        private long lastNanos;

        private boolean areAtLimit() {
            return runners.size() >= MAX_LOST_RUNNERS;
        }
    }

    /**
     * Records a runner at which work was left unfinished.
     *
     * @param loss the work and the runner
     * @param nowNanos monotonic time, ns
     * @return false if the runner counts already
     */
    public boolean record(RunnerLoss loss, long nowNanos) {
        removeExpired(nowNanos);
        Losses losses = works.remove(loss.work());
        if (losses == null) {
            losses = new Losses();
        }
        boolean wasAtLimit = losses.areAtLimit();
        boolean isNew = losses.runners.put(loss.runner(), nowNanos) == null;
        losses.lastNanos = nowNanos;
        works.put(loss.work(), losses);
        if (loss.work().isShared()) {
            sharedWorksByRunner
                    .computeIfAbsent(loss.runner(), any -> new HashSet<>())
                    .add(loss.work());
        }
        worksAtLimit += !wasAtLimit && losses.areAtLimit() ? 1 : 0;
        if (works.size() > MAX_WORKS) {
            forget(works.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Returns whether a runner counts for a piece of work.
     *
     * @param loss the work and the runner
     * @return true if it does
     */
    public boolean contains(RunnerLoss loss) {
        Losses losses = works.get(loss.work());
        return losses != null && losses.runners.containsKey(loss.runner());
    }

    /**
     * Returns since when a runner counts for a piece of work.
     *
     * @param loss the work and the runner
     * @return monotonic time of the latest loss, ns; empty if the runner does not count
     */
    public OptionalLong lossNanos(RunnerLoss loss) {
        return contains(loss)
                ? OptionalLong.of(works.get(loss.work()).runners.get(loss.runner()))
                : OptionalLong.empty();
    }

    /**
     * Returns the runners that count for a piece of work.
     *
     * @param work key of the work
     * @return keys of their incarnations
     */
    public Set<Long> runners(WorkKey work) {
        Losses losses = works.get(work);
        return losses == null ? Set.of() : Set.copyOf(losses.runners.keySet());
    }

    /**
     * Returns the number of runners that count for a piece of work.
     *
     * @param work key of the work
     * @return number of runners
     */
    public int lostRunners(WorkKey work) {
        Losses losses = works.get(work);
        return losses == null ? 0 : losses.runners.size();
    }

    /**
     * Forgets a piece of work, which has been completed.
     *
     * @param work key of the work
     * @return the runners that counted for it
     */
    public List<RunnerLoss> forget(WorkKey work) {
        List<RunnerLoss> forgotten =
                runners(work).stream().map(each -> new RunnerLoss(work, each)).toList();
        forgotten.forEach(this::remove);
        return forgotten;
    }

    /**
     * Records that a runner responds, and no longer counts it for shared work that it has outlived.
     *
     * @param runner key of the runner's incarnation
     * @param connectedNanos time at which the connection of the response was established, ns
     * @return the losses that no longer count
     */
    public List<RunnerLoss> recordResponse(long runner, long connectedNanos) {
        Predicate<WorkKey> outlived = each -> works.get(each).runners.get(runner) - connectedNanos < 0;
        List<RunnerLoss> losses = sharedWorksByRunner.getOrDefault(runner, Set.of()).stream()
                .filter(outlived)
                .map(each -> new RunnerLoss(each, runner))
                .toList();
        losses.forEach(this::remove);
        return losses;
    }

    /**
     * No longer counts a runner for a piece of work.
     *
     * @param loss the work and the runner
     */
    public void remove(RunnerLoss loss) {
        if (!contains(loss)) {
            return;
        }
        Losses losses = works.get(loss.work());
        boolean wasAtLimit = losses.areAtLimit();
        losses.runners.remove(loss.runner());
        worksAtLimit -= wasAtLimit && !losses.areAtLimit() ? 1 : 0;
        if (losses.runners.isEmpty()) {
            works.remove(loss.work());
        }
        sharedWorksByRunner.computeIfPresent(loss.runner(), (any, shared) -> {
            shared.remove(loss.work());
            return shared.isEmpty() ? null : shared;
        });
    }

    /**
     * Returns whether nothing is tracked; if so, keys of requests need not be computed.
     *
     * @return true if no runner counts for any work
     */
    public boolean isEmpty() {
        return works.isEmpty();
    }

    /**
     * Returns whether there is work at the limit.
     *
     * @return true if some work must be sent to no further runner
     */
    public boolean hasWorkAtLimit() {
        return worksAtLimit > 0;
    }

    /**
     * Returns whether work must be sent to no further runner. Work that is asked for again is not forgotten.
     *
     * @param work key of the work
     * @param nowNanos monotonic time, ns
     * @return true if as many runners count for it as may
     */
    public boolean isAtLimit(WorkKey work, long nowNanos) {
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
     * Returns the number of pieces of work at the limit.
     *
     * @return number of pieces of work
     */
    public int worksAtLimit() {
        return worksAtLimit;
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
            forget(works.keySet().iterator().next());
        }
    }
}
