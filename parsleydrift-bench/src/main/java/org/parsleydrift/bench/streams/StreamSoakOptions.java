package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Options of a randomised run.
 *
 * @param seed seed of the random generator
 * @param entries number of entry processes
 * @param runners number of runners at the start
 * @param callers number of callers that stream concurrently
 * @param endingCallers number of callers whose requests end their runners
 * @param runnerEnds how runners end under these requests, drawn for each piece of work
 * @param chainCallers number of callers of stored conversations; with them, disks of store VMs are lost as well
 * @param chainInputBytes size of the inputs of the first chain callers, bytes; 0 for short inputs only
 * @param disturbed whether processes, runners and the platform are disturbed
 * @param entryKills whether all entry processes are killed at once, three times in short series
 * @param rejoining whether all entry processes are killed during upgrades of the runners
 * @param time duration of the load
 * @param formerClassPath class path of an earlier version, as which the processes start; they are upgraded in turn, unless
 *     there are callers that compare responses
 * @param responses callers that compare each response with what its runner sent
 * @param quotas callers of teams with quotas; the only callers of a run, as all others have no key
 */
public record StreamSoakOptions(
        long seed,
        int entries,
        int runners,
        int callers,
        int endingCallers,
        List<RunnerEnd> runnerEnds,
        int chainCallers,
        int chainInputBytes,
        boolean disturbed,
        boolean entryKills,
        boolean rejoining,
        Duration time,
        Optional<String> formerClassPath,
        ResponseOptions responses,
        QuotaOptions quotas) {
    /** Copies the list. */
    public StreamSoakOptions {
        runnerEnds = List.copyOf(runnerEnds);
    }

    /** Creates the options of a run without callers that compare responses. */
    StreamSoakOptions(
            long seed,
            int entries,
            int runners,
            int callers,
            int endingCallers,
            List<RunnerEnd> runnerEnds,
            int chainCallers,
            boolean disturbed,
            boolean entryKills,
            boolean rejoining,
            Duration time,
            Optional<String> formerClassPath) {
        this(
                seed,
                entries,
                runners,
                callers,
                endingCallers,
                runnerEnds,
                chainCallers,
                0,
                disturbed,
                entryKills,
                rejoining,
                time,
                formerClassPath,
                ResponseOptions.none(),
                QuotaOptions.none());
    }

    /** Returns the options of a run whose only callers are those that compare responses. */
    static StreamSoakOptions ofResponses(
            long seed, int entries, int runners, Duration time, ResponseOptions responses) {
        return undisturbed(seed, entries, runners, time, responses, QuotaOptions.none());
    }

    /** Returns the options of a run whose only callers are those of stored conversations, some of them with long inputs. */
    static StreamSoakOptions ofLongChains(
            long seed, int entries, int runners, int callers, int inputBytes, boolean disturbed, Duration time) {
        return new StreamSoakOptions(
                seed,
                entries,
                runners,
                0,
                0,
                List.of(),
                callers,
                inputBytes,
                disturbed,
                false,
                false,
                time,
                Optional.empty(),
                ResponseOptions.none(),
                QuotaOptions.none());
    }

    /** Returns the options of a run whose only callers are those of teams with quotas. */
    static StreamSoakOptions ofQuotas(long seed, int entries, int runners, Duration time, QuotaOptions quotas) {
        return undisturbed(seed, entries, runners, time, ResponseOptions.none(), quotas);
    }

    private static StreamSoakOptions undisturbed(
            long seed, int entries, int runners, Duration time, ResponseOptions responses, QuotaOptions quotas) {
        return new StreamSoakOptions(
                seed,
                entries,
                runners,
                0,
                0,
                List.of(),
                0,
                0,
                false,
                false,
                false,
                time,
                Optional.empty(),
                responses,
                quotas);
    }
}
