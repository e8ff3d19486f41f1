package org.parsleydrift.bench.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** A short randomised run of processes under rolling upgrades. */
public class StreamSoakTest {
    private static final long SEED = 1;

    /** Guards against streams joined from two software versions, incomplete or lost, while processes and runners fail. */
    @Test
    public void streamsGoOnAtTheirSoftwareVersion() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "ci");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED, 4, 9, 16, 0, List.of(), 0, true, false, false, Duration.ofSeconds(25), Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("resumed_200"), report.toString());
    }

    /** Guards against chains that begin in another program and are lost once that program's records have expired. */
    @Test
    public void chainsOutliveTheProgramsTheyBeginIn() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "chains");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED, 2, 6, 0, 0, List.of(), 6, false, false, false, Duration.ofSeconds(35), Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("chains_continued_by_other_program"), report.toString());
    }

    /** Guards against conversations larger than a frame that cannot go on while processes fail and disks are lost. */
    @Test
    public void longChainsGoOnWhileProcessesFail() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "long");
        StreamSoakOptions options =
                StreamSoakOptions.ofLongChains(SEED, 3, 6, 6, 900_000, true, Duration.ofSeconds(20));
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("long_chain_turns"), report.toString());
    }

    /** Guards against a request that ends runner after runner, as entry processes do not hear of each other's losses. */
    @Test
    public void requestEndsThreeRunnersAtMost() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "ending");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED,
                3,
                14,
                4,
                2,
                List.of(RunnerEnd.RESET),
                0,
                false,
                false,
                false,
                Duration.ofSeconds(10),
                Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("ended_runners_reset_3"), report.toString());
    }

    /** Guards against a request that ends runner after runner, as only those that break their connections count. */
    @Test
    public void requestEndsThreeRunnersAtMostHoweverTheyEnd() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "ends");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED,
                3,
                24,
                4,
                3,
                List.of(RunnerEnd.values()),
                0,
                false,
                false,
                false,
                Duration.ofSeconds(20),
                Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("ended_runners_silent_3"), report.toString());
    }

    /** Guards against a request that ends runner after runner, as runners that hang or end later do not count. */
    @Test
    public void requestEndsThreeRunnersAtMostThatHangOrEndLater() throws IOException {
        List<RunnerEnd> ends = List.of(
                RunnerEnd.HANG,
                RunnerEnd.HANG_WITHIN_RESPONSE,
                RunnerEnd.CLOSED_WITHIN_EVENT,
                RunnerEnd.RESET_100_MS_AFTER_CALLER,
                RunnerEnd.RESET_500_MS_AFTER_CALLER,
                RunnerEnd.RESET_1_S_AFTER_CALLER,
                RunnerEnd.RESET_2_S_AFTER_CALLER);
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "late");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED, 2, 24, 4, 6, ends, 0, false, false, false, Duration.ofSeconds(20), Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("ended_runners_hang_3"), report.toString());
    }

    /** Guards against a request that ends runner after runner, as the count is lost with the entry processes. */
    @Test
    public void requestEndsThreeRunnersAtMostAsEntryProcessesAreKilled() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "kills");
        StreamSoakOptions options = new StreamSoakOptions(
                SEED,
                2,
                24,
                4,
                4,
                List.of(RunnerEnd.RESET),
                0,
                false,
                true,
                false,
                Duration.ofSeconds(20),
                Optional.empty());
        StreamSoakReport report = new StreamSoak(options).run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("ended_runners_reset_3"), report.toString());
    }

    /** Guards against requests whose connections end without a response, as their process ends at its grace time. */
    @Test
    public void requestsAreAnsweredBeforeTheirProcessEnds() throws IOException {
        StreamSoakReport report = compareResponses("answers", 3, Duration.ofSeconds(18), ResponseTrouble.ROLLING);
        assertTrue(report.toString().contains("terminations=3"), report.toString());
    }

    /** Guards against responses put together from two, as runners answer twice, in part or without a length. */
    @Test
    public void responsesAreNotMixedAsRunnersAnswerTwice() throws IOException {
        StreamSoakReport report = compareResponses("mixed", 2, Duration.ofSeconds(10), ResponseTrouble.RUNNERS);
        assertTrue(report.toString().contains("response_502"), report.toString());
    }

    /** Guards against requests lost in drains that overlap with other signals, irregular runners and new manifests. */
    @Test
    public void requestsAreAnsweredAsSignalsOverlap() throws IOException {
        StreamSoakReport report = compareResponses(
                "signals",
                3,
                Duration.ofSeconds(20),
                ResponseTrouble.SIGNALS,
                ResponseTrouble.RUNNERS,
                ResponseTrouble.CALLERS,
                ResponseTrouble.MANIFEST);
        assertTrue(report.toString().contains("terminations="), report.toString());
    }

    /** Guards against a quota exceeded by callers that begin together at many nodes, before these hear of each other. */
    @Test
    public void suddenDemandStaysWithinQuota() throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), "quota");
        QuotaOptions quotas = new QuotaOptions(200, Duration.ZERO);
        StreamSoakReport report = new StreamSoak(StreamSoakOptions.ofQuotas(SEED, 12, 6, Duration.ofSeconds(8), quotas))
                .run(folder.toAbsolutePath());
        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.toString().contains("quota_surging_429"), report.toString());
    }

    private static StreamSoakReport compareResponses(
            String name, int entries, Duration time, ResponseTrouble... troubles) throws IOException {
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "stream-soak")), name);
        ResponseOptions responses = new ResponseOptions(32, Duration.ofSeconds(8), Set.of(troubles));
        StreamSoakReport report = new StreamSoak(StreamSoakOptions.ofResponses(SEED, entries, 6, time, responses))
                .run(folder.toAbsolutePath());
        List<String> violations = report.violations();
        assertEquals(violations, List.of(), report + "\n" + String.join("\n", violations));
        return report;
    }
}
