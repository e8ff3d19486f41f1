package org.parsleydrift.roles;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.openhft.hashing.LongHashFunction;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.registry.VersionedTable;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkLoop;
import org.parsleydrift.wire.NetworkThreads;

/** Components shared by both roles: a network thread with its event loop, the client of the platform, and metrics. */
final class ProcessContext {
    private static final int MAX_METRICS_CONNECTIONS = 16;

    final RoleSettings settings;
    final NetworkThreads threads = new NetworkThreads("net", 1);
    final NetworkLoop loop = new NetworkLoop(threads, new SystemClock());
    final RandomGenerator random;
    final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    final DeploymentPlugin plugin;
    final SharedObjects objects;

    ProcessContext(RoleSettings settings) {
        this(settings, loadPlugin(settings));
    }

    ProcessContext(RoleSettings settings, DeploymentPlugin plugin) {
        this.settings = settings;
        this.plugin = plugin;
        // Nothing secret is derived from it; a secure generator would delay the start.
        this.random = new SplittableRandom(seed(
                settings.vm(), loop.clock().instant(), ProcessHandle.current().pid()));
        this.objects = new MeteredObjects(plugin.sharedObjects(new HttpClient(threads), settings.platform()), meters);
    }

    /**
     * Returns the seed of a process. The ids of its attempts and calls are random numbers, so seeds must differ between all
     * processes of a fleet.
     */
    static long seed(String vm, Instant start, long pid) {
        return LongHashFunction.xx().hashChars(String.join(" ", vm, start.toString(), Long.toString(pid)));
    }

    private static DeploymentPlugin loadPlugin(RoleSettings settings) {
        return ServiceLoader.load(DeploymentPlugin.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(each -> each.name().equals(settings.plugin()))
                .findFirst()
                .orElseThrow(() ->
                        new StepException(Step.CONFIGURE, "settings", "no plug-in named '" + settings.plugin() + "'"));
    }

    /** Starts to serve the metrics. */
    void serveMetrics() {
        serve(settings.metrics(), MAX_METRICS_CONNECTIONS, exchange -> {
            if (exchange.path().equals("/metrics")) {
                exchange.respond(200, "text/plain", meters.scrape(), Map.of());
            } else {
                exchange.respond(404, "text/plain", "", Map.of());
            }
        });
    }

    /** Starts an HTTP server for requests with small bodies. */
    HttpServer serve(Address address, int connections, org.parsleydrift.wire.HttpHandler handler) {
        return new HttpServer(threads, address.host(), address.port(), connections, handler);
    }

    ObjectWatcher createWatcher(ObjectKind kind, Duration wait, VersionedTable table, ObjectWatcher.Listener listener) {
        return new ObjectWatcher(kind, objects, loop, random, wait, table, listener);
    }
}
