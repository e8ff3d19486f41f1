package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.parsleydrift.kernel.RuntimeClock;

/** One randomised run: callers stream through a fleet of processes that is disturbed meanwhile. */
final class StreamSoak {
    /** Number of callers whose conversations may have long inputs, beside those of others with short ones. */
    private static final int LONG_CHAIN_CALLERS = 2;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /** Time before the callers of teams with quotas begin; longer than a window. */
    private static final Duration QUOTA_BEGIN = Duration.ofSeconds(9);

    private static final int CALM_CALLERS = 8;
    private static final String CALM_PREFIX = "q";
    private static final String SURGING_PREFIX = "s";
    private static final Duration CALM_PAUSE = Duration.ofSeconds(1);

    private final StreamSoakOptions options;

    StreamSoak(StreamSoakOptions options) {
        this.options = options;
    }

    /** Runs; the folder keeps settings, logs and data. */
    StreamSoakReport run(Path folder) throws IOException {
        Files.createDirectories(folder);
        StreamSoakReport report = new StreamSoakReport();
        SplittableRandom random = new SplittableRandom(options.seed());
        try (SoakFleet fleet = new SoakFleet(folder, options)) {
            for (int i = 0; i < options.runners(); i++) {
                fleet.addRunner("v1");
            }
            ResponseOptions responses = options.responses();
            if (responses.callers() > 0 || options.quotas().callers() > 0) {
                fleet.addResponseRunners(options.runners(), responses.has(ResponseTrouble.RUNNERS), report);
            }
            fleet.start();
            try (Disturbances disturbances = new Disturbances(fleet, random.split(), report)) {
                if (options.formerClassPath().isPresent() && responses.callers() == 0) {
                    disturbances.scheduleSoftwareUpgrade();
                }
                if (options.entryKills()) {
                    disturbances.scheduleEntryKills(options.time());
                }
                if (options.rejoining()) {
                    disturbances.scheduleRejoins(options.time());
                }
                if (responses.callers() > 0) {
                    new SignalSeries(fleet, disturbances, random.split(), report).schedule(responses, options.time());
                }
                if (options.disturbed()) {
                    disturbances.schedule(options.time(), options.chainCallers() > 0);
                }
                stream(fleet, random, report);
            }
            fleet.endingWorks().report(report);
            if (options.quotas().callers() > 0) {
                judgeQuota(fleet, SoakManifest.SoakTeam.CALM, CALM_PREFIX, report);
                judgeQuota(fleet, SoakManifest.SoakTeam.SURGING, SURGING_PREFIX, report);
            }
        }
        return report;
    }

    private void stream(SoakFleet fleet, SplittableRandom random, StreamSoakReport report) {
        RuntimeClock clock = fleet.clock();
        long endNanos = clock.nanos() + options.time().toNanos();
        try (HttpClient client = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 1; i <= options.callers(); i++) {
                StreamCaller caller = new StreamCaller("c" + i, fleet, client, random.split(), clock, report);
                submit(callers, () -> caller.run(endNanos), report);
            }
            for (int i = 1; i <= options.endingCallers(); i++) {
                EndingCaller caller = new EndingCaller("e" + i, fleet, client, random.split(), report, options);
                submit(callers, () -> caller.run(endNanos), report);
            }
            for (int i = 1; i <= options.chainCallers(); i++) {
                int inputBytes = i <= LONG_CHAIN_CALLERS ? options.chainInputBytes() : 0;
                ChainCaller caller = new ChainCaller("h" + i, fleet, client, random.split(), report, inputBytes);
                submit(callers, () -> caller.run(endNanos), report);
            }
            startQuotaCallers(fleet, random, report, callers);
            for (int i = 1; i <= options.responses().callers(); i++) {
                WholeResponseCaller caller =
                        new WholeResponseCaller("w" + i, fleet, random.split(), report, options.responses());
                submit(callers, () -> caller.run(endNanos), report);
            }
        }
    }

    private void startQuotaCallers(
            SoakFleet fleet, SplittableRandom random, StreamSoakReport report, ExecutorService callers) {
        long beginNanos = fleet.clock().nanos() + QUOTA_BEGIN.toNanos();
        long endNanos = beginNanos + options.time().toNanos();
        QuotaOptions quotas = options.quotas();
        for (int i = 1; i <= (quotas.callers() > 0 ? CALM_CALLERS : 0); i++) {
            QuotaCaller caller = new QuotaCaller(
                    CALM_PREFIX + i, SoakManifest.SoakTeam.CALM, CALM_PAUSE, fleet, random.split(), report);
            submit(callers, () -> caller.run(beginNanos, endNanos), report);
        }
        for (int i = 1; i <= quotas.callers(); i++) {
            QuotaCaller caller = new QuotaCaller(
                    SURGING_PREFIX + i, SoakManifest.SoakTeam.SURGING, Duration.ZERO, fleet, random.split(), report);
            long delayNanos = quotas.spread().toNanos() * (i - 1) / quotas.callers();
            submit(callers, () -> caller.run(beginNanos + delayNanos, endNanos), report);
        }
    }

    /**
     * Judges what ran, by the rule's reading, and what the nodes sent. When a runner begins does not depend on the nodes
     * alone, so that the most that begin in a window is only noted.
     */
    private static void judgeQuota(SoakFleet fleet, SoakManifest.SoakTeam team, String callers, StreamSoakReport report)
            throws IOException {
        QuotaRecords records = fleet.quotaRecords(team);
        List<Long> placed = new ArrayList<>();
        for (SoakFleet.EntryNode each : fleet.entries()) {
            placed.addAll(each.process().timesOf("event=request_placed request=" + callers));
        }
        long mostPlaced = QuotaRecords.most(placed);
        long most = records.mostSentAndRun();
        String counts = "team=" + team.name() + " sent_and_run=" + most + " placed=" + mostPlaced + " run="
                + records.mostRun() + " allowed=" + records.maxRequests();
        report.note("most in a window: " + counts);
        if (Math.max(most, mostPlaced) > records.maxRequests()) {
            report.violation("QUOTA " + counts);
        }
    }

    private static void submit(ExecutorService callers, CallerTask task, StreamSoakReport report) {
        callers.submit(() -> {
            try {
                task.run();
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException fault) {
                report.violation("caller failed: " + fault);
            }
        });
    }

    private interface CallerTask {
        void run() throws InterruptedException;
    }
}
