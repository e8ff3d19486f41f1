package org.parsleydrift.bench.streams;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * A caller of stored conversations, whose programs live for many retention periods and continue turns of other programs.
 * It checks that each turn which it may continue is found, with its whole history, and that budgets hold.
 */
final class ChainCaller {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    /** Share of the retention period after which a turn is no longer continued. */
    private static final double USABLE_SHARE = 0.8;
    /** Tries in touch after which a turn that reached no runner counts as lost. */
    private static final int MAX_TRIES_IN_TOUCH = 5;

    private static final int TOKENS_PER_EVENT = 5;
    private static final int MAX_TOKENS = VersionedRunner.EVENTS * TOKENS_PER_EVENT;
    private static final int SMALL_BUDGET = 12 * MAX_TOKENS;
    private static final int LARGE_BUDGET = 10_000 * MAX_TOKENS;
    /** Length of a history, characters, after which a new chain begins. */
    private static final int MAX_HISTORY = 10_000_000;

    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

    private final String name;
    private final SoakFleet fleet;
    private final HttpClient client;
    private final SplittableRandom random;
    private final RuntimeClock clock;
    private final StreamSoakReport report;
    private final int inputBytes;
    private int attempts;
    private int programs;
    private Program program;

    /** A turn that was answered whole, with all that precedes it. */
    private record Answered(String id, String history, long endNanos) {}

    /** A program and the tokens that were handed to its caller. */
    private static final class Program {
        private final String id;
        private final int budget;
        private int tokens;

        private Program(String id, int budget) {
            this.id = id;
            this.budget = budget;
        }
    }

    /**
     * Creates a caller.
     *
     * @param inputBytes greatest size of its inputs, bytes; 0 for short ones
     */
    ChainCaller(
            String name,
            SoakFleet fleet,
            HttpClient client,
            SplittableRandom random,
            StreamSoakReport report,
            int inputBytes) {
        this.inputBytes = inputBytes;
        this.name = name;
        this.fleet = fleet;
        this.client = client;
        this.random = random;
        this.clock = fleet.clock();
        this.report = report;
    }

    /** Runs turns until the given time. */
    void run(long endNanos) throws InterruptedException {
        List<Answered> line = new ArrayList<>();
        beginProgram();
        while (clock.nanos() - endNanos < 0) {
            Optional<Answered> previous = choosePrevious(line);
            if (previous.isEmpty() || random.nextInt(8) == 0) {
                beginProgram();
                report.count(previous.isEmpty() ? "chains_begun" : "chains_continued_by_other_program");
            }
            Optional<Answered> answered = runTurn(previous, endNanos);
            if (answered.isEmpty()) {
                line.clear();
                beginProgram();
                continue;
            }
            line.add(answered.get());
            pause(
                    random.nextInt(10) == 0
                            ? SoakManifest.RETENTION.multipliedBy(6).dividedBy(10)
                            : RETRY_PAUSE);
        }
    }

    private void beginProgram() {
        boolean isSmall = random.nextInt(3) == 0;
        program = new Program(name + "p" + ++programs, isSmall ? SMALL_BUDGET : LARGE_BUDGET);
    }

    /** Chooses the last turn, at times an earlier one, that may still be continued; empty for the start of a chain. */
    private Optional<Answered> choosePrevious(List<Answered> line) {
        if (!line.isEmpty() && line.getLast().history().length() > MAX_HISTORY) {
            line.clear();
        }
        if (line.isEmpty() || random.nextInt(60) == 0) {
            return Optional.empty();
        }
        int back = random.nextInt(10) == 0 ? random.nextInt(Math.min(4, line.size())) : 0;
        Answered chosen = line.get(line.size() - 1 - back);
        return isUsable(chosen)
                ? Optional.of(chosen)
                : Optional.of(line.getLast()).filter(this::isUsable);
    }

    private boolean isUsable(Answered turn) {
        return clock.nanos() - turn.endNanos() < SoakManifest.RETENTION.toNanos() * USABLE_SHARE;
    }

    /** Sends a turn until it is answered whole; empty if it can't be in time. */
    private Optional<Answered> runTurn(Optional<Answered> previous, long endNanos) throws InterruptedException {
        int padding = inputBytes == 0 ? 0 : random.nextInt(inputBytes / 2, inputBytes);
        String input = "input of " + name + " " + attempts + "x".repeat(padding) + "\n";
        Optional<StreamCaller.Node> last = Optional.empty();
        int triesInTouch = 0;
        while (clock.nanos() - endNanos < 0 && previous.map(this::isUsable).orElse(true)) {
            SoakFleet.EntryNode node = (SoakFleet.EntryNode) fleet.choose(random, last);
            last = Optional.of(node);
            String id = name + "t" + ++attempts;
            boolean inTouch = node.isInTouch();
            StringBuilder output = new StringBuilder();
            int status = send(node, id, previous, input, output);
            report.count("chain_" + status);
            if (status == 200) {
                report.count(previous.isPresent() && inputBytes > 0 ? "long_chain_turns" : "short_chain_turns");
                String history = previous.map(Answered::history).orElse("") + input;
                check(id, history);
                return Optional.of(new Answered(id, history + output, clock.nanos()));
            }
            if (status == 402) {
                return Optional.empty();
            }
            if (status >= 400 && status < 500) {
                report.violation(id + " of " + program.id + " was denied with " + status);
                return Optional.empty();
            }
            triesInTouch +=
                    inTouch && node.isInTouch() && fleet.receivedBody(id).isEmpty() ? 1 : 0;
            if (triesInTouch >= MAX_TRIES_IN_TOUCH && previous.isPresent()) {
                report.violation(
                        id + " of " + program.id + " reached no runner in " + triesInTouch + " tries in touch");
                return Optional.empty();
            }
            pause(RETRY_PAUSE);
        }
        report.count("chains_given_up");
        return Optional.empty();
    }

    private void check(String id, String expected) {
        Optional<String> received = fleet.receivedBody(id);
        if (!received.equals(Optional.of(expected))) {
            report.violation(id + " of " + program.id + " was run with " + received.map(String::length)
                    + " characters instead of " + expected.length());
        }
    }

    /** Sends one attempt; returns its status, 0 if no whole answer came. */
    private int send(StreamCaller.Node node, String id, Optional<Answered> previous, String input, StringBuilder output)
            throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node.address() + "/chains/"))
                .timeout(DEADLINE.plusMillis(500))
                .header("X-Attempt-Id", id)
                .header("X-Deadline-Ms", Long.toString(DEADLINE.toMillis()))
                .header("X-Program-Id", program.id)
                .header("X-Session-Id", program.id)
                .header("X-Token-Budget", Integer.toString(program.budget))
                .header("X-Token-Count", "100," + MAX_TOKENS)
                .POST(HttpRequest.BodyPublishers.ofString(input));
        previous.ifPresent(each -> request.header("X-Previous-Turn", each.id()));
        int[] events = {0};
        try {
            HttpResponse<InputStream> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                if (response.statusCode() == 200) {
                    EventReader.read(lines, (event, data) -> {
                        events[0]++;
                        output.append(data).append('\n');
                    });
                }
            }
            return response.statusCode();
        } catch (IOException broken) {
            return 0;
        } finally {
            program.tokens += events[0] * TOKENS_PER_EVENT;
            if (program.tokens > program.budget + MAX_TOKENS) {
                report.violation(program.id + " got " + program.tokens + " tokens of " + program.budget);
            }
        }
    }

    private static void pause(Duration time) {
        LockSupport.parkNanos(time.toNanos());
    }
}
