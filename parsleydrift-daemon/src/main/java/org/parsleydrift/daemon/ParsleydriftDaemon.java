package org.parsleydrift.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.lang.System.Logger;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.parsleydrift.kernel.DisruptorEventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.kernel.plugin.ExternalSystemPlugin;
import org.parsleydrift.kernel.plugin.PluginContext;
import org.parsleydrift.kernel.plugin.PluginRegistry;
import org.parsleydrift.node.Node;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkThreads;

/** The daemon process; one runs on each entry VM. SIGTERM drains it. */
public final class ParsleydriftDaemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ParsleydriftDaemon.class.getName());
    private static final int USAGE_EXIT_CODE = 2;
    private static final int DRAIN_WAIT_FACTOR = 4;
    /** Time after the drain of the node in which the last responses are sent. */
    private static final Duration SEND_LIMIT = Duration.ofSeconds(2);

    private final DaemonSettings settings;
    private final NodeSettings nodeSettings;
    private final DisruptorEventLoop loop = new DisruptorEventLoop("node", new SystemClock());
    private final NetworkThreads threads;
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final AtomicReference<Node> receiver = new AtomicReference<>();
    private final MessagePackLinks links;
    private Optional<Service> service = Optional.empty();
    private boolean ending;

    /** The parts that exist while the daemon accepts requests. */
    private record Service(Node node, HttpServer server) {}

    /**
     * Creates a daemon that does not listen yet.
     *
     * @param settings the settings of this daemon
     */
    public ParsleydriftDaemon(DaemonSettings settings) {
        this.settings = settings;
        this.nodeSettings = settings.nodeSettings();
        this.threads = new NetworkThreads("net", settings.networkThreads());
        this.links = new MessagePackLinks(threads, loop, envelope -> {
            Node node = receiver.get();
            if (node != null) {
                node.receive(envelope);
            }
        });
    }

    /** Starts the node and its listeners, the one for callers last; does nothing if the daemon is ending. */
    public synchronized void start() {
        if (ending) {
            return;
        }
        links.listen(host(settings.link()), port(settings.link()));
        Node node = createNode();
        HttpServer server = new HttpServer(
                threads,
                host(settings.http()),
                port(settings.http()),
                settings.maxConnections(),
                new CallerApi(loop, node, meters));
        service = Optional.of(new Service(node, server));
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("daemon_up")
                        .with("vm", settings.vm())
                        .with("zone", settings.zone())
                        .with("http", settings.http())
                        .with("link", settings.link())
                        .toString());
    }

    private Node createNode() {
        ExternalSystemPlugin plugin = PluginRegistry.find(settings.plugin());
        PluginContext context =
                new PluginContext(loop, settings.platform(), Map.of(HttpClient.class, new HttpClient(threads)));
        NodeEnvironment environment = new NodeEnvironment(
                loop,
                new MeteredObjectStore(plugin.newObjectStore(context), meters),
                plugin.newEngineClient(context),
                plugin.newCallClient(context),
                links,
                new java.security.SecureRandom(),
                meters);
        CountDownLatch nodeCreated = new CountDownLatch(1);
        loop.execute(() -> {
            Node created = new Node(environment, nodeSettings);
            created.setSeedPeers(settings.peers());
            receiver.set(created);
            nodeCreated.countDown();
        });
        await(nodeCreated);
        return receiver.get();
    }

    /**
     * Runs the daemon until the process is terminated.
     *
     * @param arguments the path of the settings file
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1 || arguments[0].startsWith("-")) {
            System.err.println("usage: parsleydriftd SETTINGS.json");
            System.exit(arguments.length == 1 && "--help".equals(arguments[0]) ? 0 : USAGE_EXIT_CODE);
            return;
        }
        try {
            ParsleydriftDaemon daemon = new ParsleydriftDaemon(DaemonSettings.read(Path.of(arguments[0])));
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
            daemon.start();
            new CountDownLatch(1).await();
        } catch (StepException fault) {
            System.err.println(LogLine.of("start_failed").failure(fault));
            System.exit(1);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Hands over all programs and answers all callers, within a multiple of the drain timeout. A daemon that is being
     * started is drained once it has started; one that has not been started ends at once.
     */
    public void drain() {
        Optional<Service> running;
        synchronized (this) {
            ending = true;
            running = service;
        }
        running.ifPresent(this::drain);
    }

    private void drain(Service running) {
        running.server().drain();
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> running.node().drain().whenComplete((done, failure) -> drained.countDown()));
        try {
            Duration limit = nodeSettings.timings().drainTimeout().multipliedBy(DRAIN_WAIT_FACTOR);
            boolean complete = drained.await(limit.toMillis(), TimeUnit.MILLISECONDS);
            boolean answered = running.server().end(SEND_LIMIT);
            LOG.log(
                    complete && answered ? Logger.Level.INFO : Logger.Level.WARNING,
                    LogLine.of("drain_ended")
                            .with("complete", complete)
                            .with("owed", running.server().owedResponses())
                            .toString());
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public synchronized void close() {
        service.ifPresent(running -> running.server().close());
        links.close();
        threads.close();
        loop.close();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
