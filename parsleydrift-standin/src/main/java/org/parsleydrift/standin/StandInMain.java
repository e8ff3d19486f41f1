package org.parsleydrift.standin;

import java.io.PrintStream;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.parsleydrift.kernel.DisruptorEventLoop;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.wire.HttpHandler;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkThreads;

/** Runs one stand-in as a process: {@code platform}, {@code engine}, {@code tool}, {@code objects} or {@code runner}. */
public final class StandInMain {
    private static final int MAX_CONNECTIONS = 4096;
    private static final int USAGE = 2;

    private StandInMain() {}

    /**
     * Runs until the process is ended.
     *
     * @param arguments see {@code --help}
     * @throws Exception if the port can't be had
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        OptionSpec<String> kind = parser.nonOptions("platform, engine, tool, objects or runner");
        OptionSpec<Integer> port = parser.accepts("port", "port on 127.0.0.1")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSpec<Integer> rate = parser.accepts("calls-per-second", "allowance of the platform, 0 for none")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSpec<Integer> decode = parser.accepts("decode-micros", "time of the engine for each token")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(EngineSpeed.DEFAULT.decodeMicrosPerToken());
        OptionSpec<Integer> latency = parser.accepts("latency-ms", "time of the tool for each call")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(20);
        OptionSpec<Long> seed = parser.accepts("seed", "seed of chance")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException fault) {
            System.err.println("standin: " + fault.getMessage());
            System.exit(USAGE);
            return;
        }
        String chosen = options.valuesOf(kind).stream().findFirst().orElse("");
        DisruptorEventLoop loop = new DisruptorEventLoop("standin", new SystemClock());
        SplittableRandom random = new SplittableRandom(options.valueOf(seed));
        String name = "127.0.0.1:" + options.valueOf(port);
        HttpHandler handler = switch (chosen) {
            case "platform" -> platform(loop, random, options.valueOf(rate));
            case "engine" -> engine(name, loop, random, options.valueOf(decode));
            case "tool" -> {
                Duration takes = Duration.ofMillis(options.valueOf(latency));
                yield new ToolServer(new StandInTool(name, loop, random, takes), loop);
            }
            case "objects" -> new SharedObjectsServer(new InMemorySharedObjects(loop, Duration.ofMillis(1)), loop);
            case "runner" -> new RunnerServer(name, loop);
            default -> null;
        };
        if (handler == null) {
            PrintStream err = System.err;
            parser.printHelpOn(err);
            System.exit(USAGE);
            return;
        }
        HttpServer server = new HttpServer(
                new NetworkThreads("standin-net", 2), "127.0.0.1", options.valueOf(port), MAX_CONNECTIONS, handler);
        System.out.println("event=standin_up kind=" + chosen + " port=" + server.port());
        new CountDownLatch(1).await();
    }

    private static HttpHandler platform(DisruptorEventLoop loop, SplittableRandom random, int callsPerSecond) {
        InMemoryObjectStore store = new InMemoryObjectStore(loop, random, Duration.ofMillis(1));
        store.faults(new PlatformFaults(false, 0, 0, false, callsPerSecond));
        return new PlatformServer(store);
    }

    private static HttpHandler engine(String name, DisruptorEventLoop loop, SplittableRandom random, int decode) {
        EngineSpeed usual = EngineSpeed.DEFAULT;
        EngineSpeed speed = new EngineSpeed(usual.slots(), usual.prefillMicrosPerToken(), decode, usual.cacheTokens());
        return new EngineServer(new StandInEngine(name, loop, random, speed), loop);
    }
}
