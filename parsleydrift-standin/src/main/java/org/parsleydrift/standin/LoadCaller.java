package org.parsleydrift.standin;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.SystemClock;

/**
 * Load in the users' dialect: programs of four turns with a call that must not repeat after each, begun at an even rate.
 * Prints for each period how many requests were served and what processor time each took the watched processes.
 */
public final class LoadCaller {
    private static final int USAGE = 2;
    private static final int TURNS = 4;
    private static final int REQUESTS_PER_PROGRAM = 2 * TURNS;
    private static final int OK = 200;
    /** Requests a second at most: a load on one's own machine is bounded. */
    private static final int MOST_RATE = 500;
    /** Length at most, s. */
    private static final int MOST_SECONDS = 600;

    private static final int SLOTS = 64;
    /** A first prompt of some 650 tokens at four bytes each. */
    private static final String INPUT = "word ".repeat(520);
    /** Time between reports; long enough that ticks of 10 ms of processor time don't show. */
    private static final Duration PERIOD = Duration.ofSeconds(5);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final RuntimeClock clock = new SystemClock();
    private final LongAdder served = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final String entry;

    private LoadCaller(String platform, String directory, List<String> runners)
            throws IOException, InterruptedException {
        StandInOperator operator = new StandInOperator(client, platform);
        operator.deploy(runners, SLOTS);
        entry = operator.entry(directory);
    }

    /**
     * Makes the load.
     *
     * @param arguments see {@code --help}
     * @throws Exception if a process can't be reached
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        OptionSpec<String> platform =
                parser.accepts("platform").withRequiredArg().required();
        OptionSpec<String> directory =
                parser.accepts("directory").withRequiredArg().required();
        OptionSpec<String> runners = parser.accepts("runners", "addresses, separated by commas")
                .withRequiredArg()
                .required();
        OptionSpec<Integer> rate = parser.accepts("rate", "requests a second, at most " + MOST_RATE)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(100);
        OptionSpec<Integer> seconds = parser.accepts("seconds", "how long, in periods of 5, at most " + MOST_SECONDS)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(30);
        OptionSpec<Long> entry =
                parser.accepts("entry-pid").withRequiredArg().ofType(Long.class).required();
        OptionSpec<Long> store =
                parser.accepts("store-pid").withRequiredArg().ofType(Long.class).required();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException fault) {
            System.err.println("load: " + fault.getMessage());
            parser.printHelpOn(System.err);
            System.exit(USAGE);
            return;
        }
        Optional<String> wrong = Stream.of(
                        outside("rate", options.valueOf(rate), 1, MOST_RATE),
                        outside("seconds", options.valueOf(seconds), (int) PERIOD.toSeconds(), MOST_SECONDS))
                .flatMap(Optional::stream)
                .findFirst();
        if (wrong.isPresent()) {
            System.err.println("load: " + wrong.get());
            System.exit(USAGE);
            return;
        }
        LoadCaller caller = new LoadCaller(
                options.valueOf(platform),
                options.valueOf(directory),
                Arrays.asList(options.valueOf(runners).split(",", -1)));
        caller.run(
                options.valueOf(rate),
                options.valueOf(seconds),
                List.of(process(options.valueOf(entry)), process(options.valueOf(store))));
    }

    private static Optional<String> outside(String name, int value, int least, int most) {
        return value >= least && value <= most
                ? Optional.empty()
                : Optional.of("%s must be %d to %d".formatted(name, least, most));
    }

    private static ProcessHandle process(long pid) {
        return ProcessHandle.of(pid).orElseThrow(() -> new IllegalArgumentException("no process " + pid));
    }

    private void run(int rate, int seconds, List<ProcessHandle> processes) {
        long pauseNanos = Duration.ofSeconds(1).toNanos() * REQUESTS_PER_PROGRAM / rate;
        int periods = (int) (seconds / PERIOD.toSeconds());
        long begin = clock.nanos();
        List<Duration> before = processes.stream().map(LoadCaller::processor).toList();
        long programs = 0;
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int period = 1; period <= periods; period++) {
                long until = begin + PERIOD.multipliedBy(period).toNanos();
                for (; begin + programs * pauseNanos < until; programs++) {
                    LockSupport.parkNanos(begin + programs * pauseNanos - clock.nanos());
                    long number = programs;
                    threads.execute(() -> program("p" + number));
                }
                List<Duration> now =
                        processes.stream().map(LoadCaller::processor).toList();
                report(period, before, now);
                before = now;
            }
        }
    }

    private void report(int period, List<Duration> before, List<Duration> now) {
        long ended = served.sumThenReset();
        LogLine line = LogLine.of("load")
                .with("until_s", PERIOD.multipliedBy(period).toSeconds())
                .with("served", ended)
                .with("failed", failed.sumThenReset());
        List<String> names = List.of("entry", "store");
        IntStream.range(0, names.size()).forEach(i -> {
            double millis = now.get(i).minus(before.get(i)).toNanos() / 1e6;
            line.with(names.get(i) + "_ms", Math.round(millis))
                    .with(names.get(i) + "_ms_per_request", "%.3f".formatted(ended == 0 ? 0 : millis / ended));
        });
        System.out.println(line);
    }

    private static Duration processor(ProcessHandle process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    private void program(String name) {
        String previous = "";
        for (int turn = 0; turn < TURNS; turn++) {
            String id = name + "-t" + turn;
            boolean whole = send(new CallerRequest(id, name, previous, INPUT).turn(entry))
                    && send(new CallerRequest(name + "-c" + turn, name, "", INPUT).call(entry));
            if (!whole) {
                return;
            }
            previous = id;
        }
    }

    private boolean send(HttpRequest request) {
        try {
            int status =
                    client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
            (status == OK ? served : failed).increment();
            return status == OK;
        } catch (IOException fault) {
            failed.increment();
            System.err.println(LogLine.of("request_failed")
                    .with("target", request.uri().getPath())
                    .failure(fault));
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
