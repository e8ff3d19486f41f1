package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Draws disturbances of the fleet, which come in series and overlap. */
final class Disturbances implements AutoCloseable {
    /** Limits of the longest pause between two disturbances of a run, which is drawn once for each run. */
    private static final int MIN_LONGEST_PAUSE_MILLIS = 300;

    private static final int MAX_LONGEST_PAUSE_MILLIS = 4000;
    private static final int UPGRADE_GAP_MILLIS = 250;
    /** Times between the upgrades of the system's own processes; a store catches up before the next one. */
    private static final int UPGRADE_STORE_GAP_MILLIS = 8000;

    private static final int UPGRADE_ENTRY_GAP_MILLIS = 2000;
    private static final int REJOIN_PERIOD_MILLIS = 9000;
    private static final int KILL_SERIES_PERIOD_MILLIS = 14_000;
    private static final int KILL_GAP_MILLIS = 3500;
    private static final int KILLS_IN_SERIES = 3;
    private static final Duration DRAIN = Duration.ofMillis(1500);

    private final SoakFleet fleet;
    private final SplittableRandom random;
    private final StreamSoakReport report;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
    private int lastVersion = 1;

    /** Kind of disturbance. */
    private enum Kind {
        ENTRY_KILLED,
        ENTRY_TERMINATED,
        ENTRY_PAUSED,
        ENTRY_HANGUP,
        HALF_OF_ENTRIES_KILLED,
        STORE_KILLED,
        STORE_PAUSED,
        RUNNER_CRASHED,
        RUNNER_DRAINED,
        UPGRADE,
        PARTIAL_UPGRADE,
        PLATFORM_DOWN,
        PLATFORM_SILENT,
        STORE_TERMINATED,
        STORE_DISK_LOST;

        private static final Set<Kind> OF_STORED_CONVERSATIONS = EnumSet.of(STORE_TERMINATED, STORE_DISK_LOST);

        /** Returns the kinds of a run, in a fixed order. */
        private static List<Kind> of(boolean storesConversations) {
            return Stream.of(values())
                    .filter(each -> storesConversations || !OF_STORED_CONVERSATIONS.contains(each))
                    .toList();
        }
    }

    /** What happens at a time of the run. */
    interface Task {
        void run() throws IOException;
    }

    Disturbances(SoakFleet fleet, SplittableRandom random, StreamSoakReport report) {
        this.fleet = fleet;
        this.random = random;
        this.report = report;
    }

    /** Schedules disturbances for the given time; all of them have ended a few seconds after it. */
    void schedule(Duration time, boolean storesConversations) {
        List<Kind> kinds = Kind.of(storesConversations);
        // The first upgrade is early, so that two versions serve for most of the run.
        later(500, () -> upgrade(fleet.readyRunners().size() / 2));
        int longestPause = random.nextInt(MIN_LONGEST_PAUSE_MILLIS, MAX_LONGEST_PAUSE_MILLIS);
        for (long at = 1500; at < time.toMillis(); at += 50L + random.nextInt(longestPause)) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            int target = random.nextInt(1 << 16);
            long length = 200L + random.nextInt(2000);
            later(at, () -> disturb(kind, target, length));
        }
    }

    /**
     * Schedules rolling upgrades of the runners, in the course of each of which all entry processes are killed at once, so
     * that streams are taken up again while two versions serve or the former one has just left.
     */
    void scheduleRejoins(Duration time) {
        for (long at = 1000; at < time.toMillis(); at += REJOIN_PERIOD_MILLIS) {
            boolean whole = random.nextBoolean();
            later(at, () -> upgrade(fleet.readyRunners().size() / (whole ? 1 : 2)));
            long length = 300L + random.nextInt(1000);
            later(at + random.nextInt(REJOIN_PERIOD_MILLIS / 2), () -> {
                report.count("all_entries_killed");
                fleet.entries().forEach(each -> restartAfterKill(each.process(), length));
            });
        }
    }

    /** Schedules series of three kills of all entry processes at once, which are started again after a few hundred ms. */
    void scheduleEntryKills(Duration time) {
        for (long begin = KILL_GAP_MILLIS; begin < time.toMillis(); begin += KILL_SERIES_PERIOD_MILLIS) {
            for (int i = 0; i < KILLS_IN_SERIES; i++) {
                long length = 100L + random.nextInt(300);
                later(begin + (long) i * KILL_GAP_MILLIS, () -> {
                    report.count("all_entries_killed");
                    fleet.entries().forEach(each -> restartAfterKill(each.process(), length));
                });
            }
        }
    }

    /** Schedules the restarts of all processes, one after the other, from which on they run the software of this run. */
    void scheduleSoftwareUpgrade() {
        long at = UPGRADE_STORE_GAP_MILLIS / 2;
        for (RoleProcess store : fleet.stores()) {
            later(at, () -> restartUpgraded(store));
            at += UPGRADE_STORE_GAP_MILLIS;
        }
        for (SoakFleet.EntryNode entry : fleet.entries()) {
            later(at, () -> restartUpgraded(entry.process()));
            at += UPGRADE_ENTRY_GAP_MILLIS;
        }
    }

    private void restartUpgraded(RoleProcess process) throws IOException {
        signal(process, "TERM");
        later(fleet.grace().toMillis(), () -> {
            process.upgrade();
            restartAfterKill(process, 0);
            report.count("software_upgrades");
        });
    }

    private void disturb(Kind kind, int target, long length) throws IOException {
        report.count("disturbance_" + kind);
        List<SoakFleet.EntryNode> entries = fleet.entries();
        RoleProcess entry = entries.get(target % entries.size()).process();
        RoleProcess store = fleet.stores().get(target % fleet.stores().size());
        switch (kind) {
            case ENTRY_KILLED -> restartAfterKill(entry, length);
            case ENTRY_TERMINATED -> {
                signal(entry, "TERM");
                // Continues a paused process, which would not receive the signal otherwise.
                signal(entry, "CONT");
                later(fleet.grace().toMillis(), () -> restartAfterKill(entry, length / 4));
            }
            case ENTRY_PAUSED -> pause(entry, length);
            case ENTRY_HANGUP -> signal(entry, "HUP");
            case HALF_OF_ENTRIES_KILLED -> {
                for (int i = 0; i < entries.size() / 2; i++) {
                    restartAfterKill(entries.get((target + i) % entries.size()).process(), length);
                }
            }
            case STORE_KILLED -> {
                if (fleet.stores().stream().allMatch(RoleProcess::isRunning)) {
                    restartAfterKill(store, length);
                }
            }
            case STORE_PAUSED -> pause(store, length);
            case STORE_TERMINATED -> {
                if (fleet.stores().stream().allMatch(RoleProcess::isRunning)) {
                    signal(store, "TERM");
                    signal(store, "CONT");
                    later(length, () -> restartAfterKill(store, 0));
                }
            }
            case STORE_DISK_LOST -> {
                if (fleet.wipe(store)) {
                    report.count("disks_lost");
                    later(length, () -> store.start(fleet.clock().nanos()));
                }
            }
            case RUNNER_CRASHED -> fleet.crash(runner(target));
            case RUNNER_DRAINED -> replace(runner(target), runner(target).version());
            case UPGRADE -> upgrade(fleet.readyRunners().size());
            case PARTIAL_UPGRADE -> upgrade(1 + target % 4);
            case PLATFORM_DOWN -> {
                fleet.setPlatformDown(true);
                later(length, () -> fleet.setPlatformDown(false));
            }
            case PLATFORM_SILENT -> {
                fleet.setPlatformSilent(true);
                later(length, () -> fleet.setPlatformSilent(false));
            }
        }
    }

    private void restartAfterKill(RoleProcess process, long length) {
        process.kill(fleet.clock().nanos());
        later(Math.max(100, length), () -> process.start(fleet.clock().nanos()));
    }

    private void pause(RoleProcess process, long length) throws IOException {
        signal(process, "STOP");
        later(length, () -> signal(process, "CONT"));
    }

    private void signal(RoleProcess process, String signal) throws IOException {
        process.signal(signal, fleet.clock().nanos());
    }

    private VersionedRunner runner(int target) {
        List<VersionedRunner> ready = fleet.readyRunners();
        return ready.get(target % ready.size());
    }

    /** Starts a runner, then drains another one and ends it. */
    private void replace(VersionedRunner former, String version) {
        fleet.addRunner(version);
        fleet.drain(former);
        later(DRAIN.toMillis(), () -> {
            fleet.stop(former);
            fleet.removeEntry(former);
        });
    }

    /** Replaces runners by runners of the next version, one after the other. */
    private void upgrade(int count) {
        String version = "v" + ++lastVersion;
        List<VersionedRunner> formers = new ArrayList<>(fleet.readyRunners());
        for (int i = 0; i < Math.min(count, formers.size()); i++) {
            VersionedRunner former = formers.get(i);
            later((long) i * UPGRADE_GAP_MILLIS, () -> {
                if (former.isReady()) {
                    replace(former, version);
                }
            });
        }
    }

    /** Schedules a task. */
    void later(long millis, Task task) {
        executor.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | RuntimeException fault) {
                        report.violation("disturbance failed: " + fault);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
