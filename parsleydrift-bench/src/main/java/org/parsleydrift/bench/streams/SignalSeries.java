package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** Sends signals to processes as planned work does, also before they have started and while they drain. */
final class SignalSeries {
    private static final int FIRST_MILLIS = 1500;
    private static final int MAX_GAP_MILLIS = 3000;
    private static final int MIN_GAP_MILLIS = 500;
    private static final int END_CHECK_MILLIS = 50;
    private static final int MANIFEST_MILLIS = 1500;
    private static final int MAX_SECOND_MILLIS = 6000;
    private static final int MAX_START_MILLIS = 1500;
    private static final int MAX_STOP_MILLIS = 1500;
    private static final int SHORT_MILLIS = 100;
    /** Time that a process may take beyond its grace time on a busy machine. */
    private static final Duration END_MARGIN = Duration.ofMillis(2500);

    private final SoakFleet fleet;
    private final Disturbances disturbances;
    private final SplittableRandom random;
    private final StreamSoakReport report;
    private final Set<RoleProcess> busy = ConcurrentHashMap.newKeySet();

    /** What a process is sent. */
    private enum Kind {
        TERM,
        TERM_TWICE,
        TERM_THEN_HUP,
        HUP_THEN_TERM,
        TERM_WHILE_STOPPED,
        STOPPED_WHILE_DRAINING,
        TERM_DURING_START,
        TWO_AT_ONCE,
        WITH_STORE,
        HUP
    }

    SignalSeries(SoakFleet fleet, Disturbances disturbances, SplittableRandom random, StreamSoakReport report) {
        this.fleet = fleet;
        this.disturbances = disturbances;
        this.random = random;
        this.report = report;
    }

    /** Schedules what the options ask for; no process is sent SIGTERM so late that the run does not see its end. */
    void schedule(ResponseOptions options, Duration time) {
        long lastMillis = time.minus(fleet.grace()).toMillis();
        List<SoakFleet.EntryNode> entries = fleet.entries();
        if (options.has(ResponseTrouble.ROLLING)) {
            long gap = Math.clamp((lastMillis - FIRST_MILLIS) / entries.size(), MIN_GAP_MILLIS, MAX_GAP_MILLIS);
            for (int i = 0; i < entries.size(); i++) {
                RoleProcess entry = entries.get(i).process();
                disturbances.later(FIRST_MILLIS + i * gap, () -> send(Kind.TERM, entry, entry, 0));
            }
        }
        if (options.has(ResponseTrouble.SIGNALS)) {
            Kind[] kinds = Kind.values();
            for (long at = FIRST_MILLIS; at < lastMillis; at += random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS)) {
                Kind kind = kinds[random.nextInt(kinds.length)];
                int target = random.nextInt(entries.size());
                RoleProcess entry = entries.get(target).process();
                RoleProcess next = entries.get((target + 1) % entries.size()).process();
                double length = random.nextDouble();
                disturbances.later(at, () -> send(kind, entry, next, length));
            }
        }
        if (options.has(ResponseTrouble.MANIFEST)) {
            for (int i = 1; (long) i * MANIFEST_MILLIS < time.toMillis(); i++) {
                int version = i + 1;
                disturbances.later((long) i * MANIFEST_MILLIS, () -> fleet.writeManifest(version, version % 2 == 0));
            }
        }
    }

    /** Sends one series, unless the process has not got over another one yet. */
    private void send(Kind kind, RoleProcess entry, RoleProcess next, double length) throws IOException {
        if (!busy.add(entry)) {
            report.count("signals_left_out");
            return;
        }
        report.count("signals_" + kind);
        long second = SHORT_MILLIS + (long) (length * MAX_SECOND_MILLIS);
        long stop = SHORT_MILLIS + (long) (length * MAX_STOP_MILLIS);
        switch (kind) {
            case TERM -> terminate(entry);
            case TERM_TWICE -> {
                terminate(entry);
                signalLater(second, entry, "TERM");
            }
            case TERM_THEN_HUP -> {
                terminate(entry);
                signalLater(second, entry, "HUP");
            }
            case HUP_THEN_TERM -> {
                signal(entry, "HUP");
                disturbances.later(stop, () -> terminate(entry));
            }
            case TERM_WHILE_STOPPED -> {
                signal(entry, "STOP");
                disturbances.later(SHORT_MILLIS, () -> terminate(entry));
                signalLater(SHORT_MILLIS + stop, entry, "CONT");
            }
            case STOPPED_WHILE_DRAINING -> {
                terminate(entry);
                signalLater(second / 2, entry, "STOP");
                signalLater(second / 2 + stop, entry, "CONT");
            }
            case TERM_DURING_START -> {
                terminate(entry, () -> {
                    entry.start(fleet.clock().nanos());
                    disturbances.later((long) (length * MAX_START_MILLIS), () -> terminate(entry));
                });
            }
            case TWO_AT_ONCE -> {
                terminate(entry);
                if (busy.add(next)) {
                    terminate(next);
                }
            }
            case WITH_STORE -> {
                terminate(entry);
                RoleProcess store =
                        fleet.stores().get((int) (length * fleet.stores().size()));
                if (fleet.stores().stream().allMatch(RoleProcess::isRunning) && busy.add(store)) {
                    terminate(store);
                }
            }
            case HUP -> {
                signal(entry, "HUP");
                busy.remove(entry);
            }
        }
    }

    private void signalLater(long millis, RoleProcess process, String signal) {
        disturbances.later(millis, () -> signal(process, signal));
    }

    private void signal(RoleProcess process, String signal) throws IOException {
        process.signal(signal, fleet.clock().nanos());
    }

    /** Sends SIGTERM and starts the process again when it has ended. */
    private void terminate(RoleProcess process) throws IOException {
        terminate(process, () -> {
            process.start(fleet.clock().nanos());
            busy.remove(process);
        });
    }

    private void terminate(RoleProcess process, Disturbances.Task next) throws IOException {
        report.count("terminations");
        signal(process, "TERM");
        awaitEnd(process, fleet.clock().nanos() + fleet.grace().plus(END_MARGIN).toNanos(), next);
    }

    private void awaitEnd(RoleProcess process, long limitNanos, Disturbances.Task next) throws IOException {
        long now = fleet.clock().nanos();
        if (!process.isRunning()) {
            next.run();
        } else if (now - limitNanos < 0) {
            disturbances.later(END_CHECK_MILLIS, () -> awaitEnd(process, limitNanos, next));
        } else {
            report.violation("OUTLIVED node=" + process.name() + " runs " + process.sinceTermination(now));
            process.kill(now);
            disturbances.later(SHORT_MILLIS, next);
        }
    }
}
