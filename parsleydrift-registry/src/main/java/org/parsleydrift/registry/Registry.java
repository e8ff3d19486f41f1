package org.parsleydrift.registry;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;

/** This node's view of the manifest and the runners. Confined to one event loop. */
public final class Registry {
    private static final Logger LOG = System.getLogger(Registry.class.getName());
    /**
     * How long runners whose entries were removed around an outage are still used, counted from the end of the outage.
     * Entries expire while the platform is down, and live runners write them again within two seconds of its return. A
     * runner that leaves later must not receive requests for longer than two seconds.
     */
    private static final Duration EXPIRY_GRACE = Duration.ofMillis(1900);

    private final EventLoop loop;
    private final ObjectDecoder decoder;
    private final Map<String, Runner> runners = new HashMap<>();
    private final Map<String, Runner> expired = new HashMap<>();
    private final LatestIncarnations latestIncarnations = new LatestIncarnations();
    private Runnable onChange = () -> {};
    private RoutingManifest manifest;
    private boolean platformReachable = true;
    private boolean inExpiryGrace;
    private long outages;
    private boolean manifestCurrent = true;

    /**
     * Creates an empty registry.
     *
     * @param loop event loop that the registry is confined to
     * @param decoder decodes the contents of shared objects
     */
    public Registry(EventLoop loop, ObjectDecoder decoder) {
        this.loop = loop;
        this.decoder = decoder;
    }

    /**
     * Sets the task to run after runners or the manifest have changed.
     *
     * @param task task to run on the event loop; replaces the previous one
     */
    public void onChange(Runnable task) {
        onChange = task;
    }

    /**
     * Returns the latest readable manifest.
     *
     * @return the manifest; empty if none has been received
     */
    public Optional<RoutingManifest> manifest() {
        return Optional.ofNullable(manifest);
    }

    /**
     * Returns the runners of a service that can receive new requests.
     *
     * @param service name of the service
     * @return all known runners of the service that are not draining
     */
    public List<Runner> runners(String service) {
        return Stream.concat(runners.values().stream(), expired.values().stream())
                .filter(each -> each.service().equals(service) && !each.draining())
                .toList();
    }

    /**
     * Returns all known runners, including those that are draining and those whose entries have expired.
     *
     * @return the runners of all services
     */
    public List<Runner> allRunners() {
        return Stream.concat(runners.values().stream(), expired.values().stream())
                .toList();
    }

    /**
     * Returns the incarnations of all known runners, including those that are draining and those whose entries have
     * expired.
     *
     * @return ids of the incarnations
     */
    public Set<String> incarnations() {
        return allRunners().stream().map(Runner::incarnation).collect(Collectors.toSet());
    }

    /**
     * Whether a runner can receive new requests.
     *
     * @param runner a runner
     * @return true if exactly this incarnation is known and not draining
     */
    public boolean isUsable(Runner runner) {
        Runner known = runners.getOrDefault(runner.id(), expired.get(runner.id()));
        return known != null && known.incarnation().equals(runner.incarnation()) && !known.draining();
    }

    /**
     * Records the beginning or the end of an outage of the platform.
     *
     * @param reachable whether the platform answers this node or any of its peers
     */
    public void setPlatformReachable(boolean reachable) {
        if (reachable == platformReachable) {
            return;
        }
        platformReachable = reachable;
        if (reachable) {
            long outage = outages;
            inExpiryGrace = true;
            loop.schedule(EXPIRY_GRACE, () -> dropExpired(outage));
        } else {
            outages++;
        }
    }

    /**
     * Records whether the manifest is current.
     *
     * @param current whether it was the latest at some time within the last {@link StalenessTracker#MAX_STALENESS};
     *     false during an outage
     */
    public void setManifestCurrent(boolean current) {
        manifestCurrent = current;
    }

    /**
     * Whether the manifest is current.
     *
     * @return whether it was the latest at some time within the last {@link StalenessTracker#MAX_STALENESS}
     */
    public boolean isManifestCurrent() {
        return manifestCurrent;
    }

    /**
     * Applies changes to the entries of runners.
     *
     * @param changes changed entries
     */
    public void applyRunnerChanges(List<SharedObject> changes) {
        changes.forEach(this::applyRunnerChange);
        onChange.run();
    }

    /**
     * Applies changes to the manifest. An unreadable manifest leaves the previous one in force.
     *
     * @param changes changed objects
     */
    public void applyManifestChanges(List<SharedObject> changes) {
        changes.stream().filter(each -> !each.deleted()).forEach(each -> {
            try {
                RoutingManifest decoded = decoder.decodeManifest(each.content());
                manifest = decoded;
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("manifest_in_force")
                                .with("version", decoded.version())
                                .with("revision", each.revision())
                                .toString());
            } catch (StepException fault) {
                // The previous manifest stays in force.
                LOG.log(
                        Logger.Level.ERROR,
                        LogLine.of("manifest_unreadable")
                                .with("revision", each.revision())
                                .failure(fault)
                                .toString());
            }
        });
        onChange.run();
    }

    private void applyRunnerChange(SharedObject change) {
        Runner before = runners.get(change.name());
        if (change.deleted()) {
            runners.remove(change.name());
            if (before != null) {
                removeOrExpire(before, change);
            }
            return;
        }
        try {
            Runner now = decoder.decodeRunner(change.name(), change.content());
            if (latestIncarnations.isOutdated(now)) {
                log("runner_incarnation_outdated", now, change);
                return;
            }
            latestIncarnations.update(now);
            expired.remove(change.name());
            runners.put(change.name(), now);
            if (!now.equals(before)) {
                log(before == null ? "runner_added" : "runner_changed", now, change);
            }
        } catch (StepException fault) {
            removeUnreadable(change, fault);
        }
    }

    /**
     * Removes a runner whose entry is unreadable. Its writer is unknown, and the former address may belong to another
     * process.
     */
    private void removeUnreadable(SharedObject change, StepException fault) {
        boolean known = runners.remove(change.name()) != null;
        expired.remove(change.name());
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("runner_unreadable")
                        .with("runner", change.name())
                        .with("revision", change.revision())
                        .with("was_known", known)
                        .failure(fault)
                        .toString());
    }

    private void removeOrExpire(Runner runner, SharedObject change) {
        boolean mayHaveExpired = !platformReachable || inExpiryGrace;
        if (!mayHaveExpired || runner.draining()) {
            log("runner_removed", runner, change);
            return;
        }
        expired.put(runner.id(), runner);
        log("runner_entry_expired", runner, change);
    }

    private void dropExpired(long outage) {
        if (outage != outages) {
            // Another outage has begun since; its end schedules its own task.
            return;
        }
        inExpiryGrace = false;
        if (expired.isEmpty()) {
            return;
        }
        expired.values()
                .forEach(each -> LOG.log(
                        Logger.Level.INFO,
                        runnerEvent("runner_removed", each)
                                .with("expired", true)
                                .toString()));
        expired.clear();
        onChange.run();
    }

    private static void log(String event, Runner runner, SharedObject change) {
        LOG.log(
                Logger.Level.INFO,
                () -> runnerEvent(event, runner)
                        .with("revision", change.revision())
                        .toString());
    }

    private static LogLine runnerEvent(String event, Runner runner) {
        return LogLine.of(event)
                .with("runner", runner.incarnation())
                .with("service", runner.service())
                .with("address", runner.address())
                .with("zone", runner.zone())
                .with("version", runner.softwareVersion())
                .with("draining", runner.draining());
    }
}
