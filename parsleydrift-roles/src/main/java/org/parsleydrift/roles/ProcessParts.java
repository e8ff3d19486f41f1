package org.parsleydrift.roles;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
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

/** What both roles are made of: one network thread with its loop, the platform, metrics. */
final class ProcessParts {
    /** Connections of whoever reads metrics; a few at most. */
    private static final int METRICS_CONNECTIONS = 16;

    /** Spreads the seeds of VMs that start in the same millisecond. */
    private static final long PRIME = 1_000_003L;

    final RoleSettings settings;
    final NetworkThreads threads = new NetworkThreads("net", 1);
    final NetworkLoop loop = new NetworkLoop(threads, new SystemClock());
    final RandomGenerator random;
    final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    final DeploymentPlugin outside;
    final SharedObjects objects;

    ProcessParts(RoleSettings settings) {
        this.settings = settings;
        // Ties and pauses only; a secure generator would lengthen the start.
        this.random = new SplittableRandom(
                settings.vm().hashCode() * PRIME + loop.clock().instant().toEpochMilli());
        this.outside = ServiceLoader.load(DeploymentPlugin.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(each -> each.name().equals(settings.outside()))
                .findFirst()
                .orElseThrow(() ->
                        new StepException(Step.CONFIGURE, "settings", "no plug-in named '" + settings.outside() + "'"));
        this.objects = new MeteredObjects(outside.sharedObjects(new HttpClient(threads), settings.platform()), meters);
        serve(settings.metrics(), METRICS_CONNECTIONS, exchange -> {
            if (exchange.path().equals("/metrics")) {
                exchange.respond(200, "text/plain", meters.scrape(), Map.of());
            } else {
                exchange.respond(404, "text/plain", "", Map.of());
            }
        });
    }

    /** Listens for small requests with whole bodies. */
    HttpServer serve(Address address, int connections, org.parsleydrift.wire.HttpHandler handler) {
        return new HttpServer(threads, address.host(), address.port(), connections, handler);
    }

    ObjectWatcher follow(ObjectKind kind, Duration wait, VersionedTable table, ObjectWatcher.Listener listener) {
        return new ObjectWatcher(kind, objects, loop, random, wait, table, listener);
    }
}
