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

/** What this node believes of the manifest and of the runners. Confined to one loop. */
public final class Registry {
    private static final Logger LOG = System.getLogger(Registry.class.getName());
    /**
     * Entries of runners lapse while the platform is silent and are back about two seconds after its return, if the
     * runner lives. A node that dropped them at once would refuse requests that the runners could serve. The time counts
     * from the return. Counted from when a node learns of the removal, a runner that leaves a while after the return
     * would get requests for longer than the two seconds after which it must be left alone.
     */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(1900);

    private final EventLoop loop;
    private final ObjectDecoder decoder;
    private final Map<String, Runner> runners = new HashMap<>();
    private final Map<String, Runner> lapsed = new HashMap<>();
    private final NewestLives newestLives = new NewestLives();
    private Runnable onChange = () -> {};
    private RoutingManifest manifest;
    private boolean platformReached = true;
    private boolean returning;
    private long silences;
    private boolean manifestCurrent = true;

    /**
     * Makes an empty registry.
     *
     * @param loop its loop
     * @param decoder reads contents
     */
    public Registry(EventLoop loop, ObjectDecoder decoder) {
        this.loop = loop;
        this.decoder = decoder;
    }

    /**
     * Says what to run when runners or the manifest changed.
     *
     * @param task what to run
     */
    public void onChange(Runnable task) {
        onChange = task;
    }

    /**
     * The newest known manifest.
     *
     * @return the manifest, if one is known
     */
    public Optional<RoutingManifest> manifest() {
        return Optional.ofNullable(manifest);
    }

    /**
     * Runners of a service that may get new requests.
     *
     * @param service the service
     * @return the runners
     */
    public List<Runner> runners(String service) {
        return Stream.concat(runners.values().stream(), lapsed.values().stream())
                .filter(each -> each.service().equals(service) && !each.draining())
                .toList();
    }

    /**
     * Lives of all runners that are known, those that are leaving or have lapsed included.
     *
     * @return the lives
     */
    public Set<String> incarnations() {
        return Stream.concat(runners.values().stream(), lapsed.values().stream())
                .map(Runner::incarnation)
                .collect(Collectors.toSet());
    }

    /**
     * Whether a runner may still get new requests.
     *
     * @param runner one of its lives
     * @return whether this life is known and not leaving
     */
    public boolean isUsable(Runner runner) {
        Runner known = runners.getOrDefault(runner.id(), lapsed.get(runner.id()));
        return known != null && known.incarnation().equals(runner.incarnation()) && !known.draining();
    }

    /**
     * Notes whether the platform answers.
     *
     * @param reached whether it answers any node that this node hears of
     */
    public void setPlatformReachable(boolean reached) {
        if (reached == platformReached) {
            return;
        }
        platformReached = reached;
        if (reached) {
            long ended = silences;
            returning = true;
            loop.schedule(LAPSE_GRACE, () -> dropLapsed(ended));
        } else {
            silences++;
        }
    }

    /**
     * Notes whether the manifest was the newest at some moment of the last {@link KnowledgeAge#SILENCE}.
     *
     * @param current whether it was; false while the platform is silent
     */
    public void setManifestCurrent(boolean current) {
        manifestCurrent = current;
    }

    /**
     * Whether the manifest was the newest at some moment of the last {@link KnowledgeAge#SILENCE}.
     *
     * @return whether it was
     */
    public boolean isManifestCurrent() {
        return manifestCurrent;
    }

    /**
     * Takes in news of runners.
     *
     * @param news changed entries
     */
    public void applyRunnerChanges(List<SharedObject> news) {
        news.forEach(this::runnerChanged);
        onChange.run();
    }

    /**
     * Takes in news of the manifest.
     *
     * @param news changed objects
     */
    public void applyManifestChanges(List<SharedObject> news) {
        news.stream().filter(each -> !each.deleted()).forEach(each -> {
            try {
                RoutingManifest read = decoder.decodeManifest(each.content());
                manifest = read;
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("manifest_in_force")
                                .with("version", read.version())
                                .with("revision", each.revision())
                                .toString());
            } catch (StepException fault) {
                // The previous manifest stays in force; the operator's version can't be read here.
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

    private void runnerChanged(SharedObject change) {
        Runner before = runners.get(change.name());
        if (change.deleted()) {
            runners.remove(change.name());
            if (before != null) {
                removed(before, change);
            }
            return;
        }
        try {
            Runner now = decoder.decodeRunner(change.name(), change.content());
            if (newestLives.isFormer(now)) {
                log("runner_of_former_life", now, change);
                return;
            }
            newestLives.seen(now);
            lapsed.remove(change.name());
            runners.put(change.name(), now);
            if (!now.equals(before)) {
                log(before == null ? "runner_known" : "runner_changed", now, change);
            }
        } catch (StepException fault) {
            unreadable(change, fault);
        }
    }

    /**
     * An entry that can't be read names no runner, whatever stood there before: who wrote it is unknown, and requests
     * sent to the runner of its former content might reach another process.
     */
    private void unreadable(SharedObject change, StepException fault) {
        boolean known = runners.remove(change.name()) != null;
        lapsed.remove(change.name());
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("runner_unreadable")
                        .with("runner", change.name())
                        .with("revision", change.revision())
                        .with("was_known", known)
                        .failure(fault)
                        .toString());
    }

    private void removed(Runner runner, SharedObject change) {
        boolean mayLapse = !platformReached || returning;
        if (!mayLapse || runner.draining()) {
            log("runner_gone", runner, change);
            return;
        }
        lapsed.put(runner.id(), runner);
        log("runner_lapsed", runner, change);
    }

    private void dropLapsed(long afterSilence) {
        if (afterSilence != silences) {
            // Another silence began meanwhile; its end has a timer of its own.
            return;
        }
        returning = false;
        if (lapsed.isEmpty()) {
            return;
        }
        lapsed.values()
                .forEach(each -> LOG.log(
                        Logger.Level.INFO,
                        line("runner_gone", each).with("lapsed", true).toString()));
        lapsed.clear();
        onChange.run();
    }

    private static void log(String event, Runner runner, SharedObject change) {
        LOG.log(
                Logger.Level.INFO,
                () -> line(event, runner).with("revision", change.revision()).toString());
    }

    private static LogLine line(String event, Runner runner) {
        return LogLine.of(event)
                .with("runner", runner.incarnation())
                .with("service", runner.service())
                .with("address", runner.address())
                .with("zone", runner.zone())
                .with("draining", runner.draining());
    }
}
