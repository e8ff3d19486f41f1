package org.parsleydrift.placement.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Requests of a node for leases: the open ones, the coordinators to avoid, and the releases to be sent. A request that
 * got no answer is released like a granted one, since the coordinator may have granted it. Not thread-safe.
 */
public final class LeaseRequests {
    /** Time to wait for an answer; well above the 3 ms of a frame and its answer across zones. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(25);

    /** Time for which a coordinator that did not answer is not asked. */
    static final Duration AVOIDANCE = Duration.ofMillis(500);

    private final Map<Long, String> coordinators = new HashMap<>();
    private final Set<Long> unanswered = new HashSet<>();
    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
    private Map<String, List<Long>> releases = new HashMap<>();
    private long lastNumber;

    /**
     * Returns the coordinator to ask for a slot of a runner.
     *
     * @param liveNodes availability zone of each live, ready node, by its name
     * @param zone availability zone of the runner
     * @param runner {@link org.parsleydrift.registry.RunnerKey} of the runner's incarnation
     * @param nowNanos monotonic time, ns
     * @return name of the coordinator; empty if there is none, or if it did not answer shortly before
     */
    public Optional<String> coordinator(Map<String, String> liveNodes, String zone, long runner, long nowNanos) {
        avoidedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
        return CoordinatorChoice.choose(liveNodes, zone, runner).filter(each -> !avoidedUntilNanos.containsKey(each));
    }

    /**
     * Opens a request.
     *
     * @param coordinator name of the coordinator
     * @return number of the request
     */
    public long open(String coordinator) {
        lastNumber++;
        coordinators.put(lastNumber, coordinator);
        unanswered.add(lastNumber);
        return lastNumber;
    }

    /**
     * Records an answer. A rejected request needs no release.
     *
     * @param number number of the request
     * @param granted whether the lease was granted
     * @return whether the request was still waiting for its answer
     */
    public boolean recordAnswer(long number, boolean granted) {
        boolean waiting = unanswered.remove(number);
        if (!granted) {
            coordinators.remove(number);
        }
        return waiting;
    }

    /**
     * Records that a request got no answer in time; its coordinator is avoided for a while.
     *
     * @param number number of the request
     * @param nowNanos monotonic time, ns
     * @return name of the coordinator; empty if the request was answered or released before
     */
    public Optional<String> recordTimeout(long number, long nowNanos) {
        if (!unanswered.remove(number)) {
            return Optional.empty();
        }
        String coordinator = coordinators.get(number);
        avoidedUntilNanos.put(coordinator, nowNanos + AVOIDANCE.toNanos());
        return Optional.of(coordinator);
    }

    /**
     * Releases the lease of a request, or withdraws the request; only the first call has an effect.
     *
     * @param number number of the request
     */
    public void release(long number) {
        unanswered.remove(number);
        String coordinator = coordinators.remove(number);
        if (coordinator != null) {
            releases.computeIfAbsent(coordinator, any -> new ArrayList<>()).add(number);
        }
    }

    /**
     * Returns the releases for one coordinator since the last call.
     *
     * @param coordinator name of the coordinator
     * @return numbers of the requests; empty if there are none
     */
    public List<Long> takeReleases(String coordinator) {
        List<Long> taken = releases.remove(coordinator);
        return taken == null ? List.of() : taken;
    }

    /**
     * Returns the releases since the last call.
     *
     * @return numbers of the requests, by the name of their coordinator
     */
    public Map<String, List<Long>> takeReleases() {
        Map<String, List<Long>> taken = releases;
        releases = new HashMap<>();
        return taken;
    }
}
