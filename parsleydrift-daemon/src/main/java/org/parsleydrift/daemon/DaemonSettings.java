package org.parsleydrift.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.node.NodeSettings;

/**
 * The settings file of the daemon (docs/OPERATIONS.md, "Settings").
 *
 * @param vm the VM's name
 * @param zone its availability zone
 * @param http address for callers
 * @param link address for peers
 * @param platform the platform's address
 * @param plugin name of the plug-in for external systems; "http" if absent
 * @param dataFolder folder for bulk data, or null
 * @param peers link addresses of peers that supply the manifest while the platform is unreachable
 * @param networkThreads network threads; 2 if absent
 * @param maxConnections maximum number of caller connections; 4096 if absent
 * @param timings durations in milliseconds, and the platform write rate per second, by name
 */
public record DaemonSettings(
        String vm,
        String zone,
        String http,
        String link,
        String platform,
        String plugin,
        String dataFolder,
        List<String> peers,
        Integer networkThreads,
        Integer maxConnections,
        Map<String, Long> timings) {
    private static final int DEFAULT_THREADS = 2;
    private static final int DEFAULT_CONNECTIONS = 4096;

    /** Replaces absent values with defaults. */
    public DaemonSettings {
        plugin = plugin == null ? "http" : plugin;
        peers = peers == null ? List.of() : List.copyOf(peers);
        networkThreads = networkThreads == null ? DEFAULT_THREADS : networkThreads;
        maxConnections = maxConnections == null ? DEFAULT_CONNECTIONS : maxConnections;
        timings = timings == null ? Map.of() : Map.copyOf(timings);
    }

    /**
     * Reads a settings file.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws StepException with every fault, its line and column
     */
    public static DaemonSettings read(Path file) {
        try {
            return parse(file.getFileName().toString(), Files.readString(file));
        } catch (IOException fault) {
            throw new StepException(
                    Step.CONFIGURE, file.toString(), "cannot read settings file: " + fault.getMessage());
        }
    }

    /**
     * Reads settings.
     *
     * @param name the name of the text, for errors
     * @param text JSON with comments
     * @return the settings
     * @throws StepException with every fault, its line and column
     */
    public static DaemonSettings parse(String name, String text) {
        return JsonDocument.parse(Step.CONFIGURE, name, text)
                .read(DaemonSettings.class, "settings.schema.json", DaemonSettings.class);
    }

    /**
     * Returns the settings of the node.
     *
     * @return identity and timings
     */
    public NodeSettings nodeSettings() {
        NodeSettings.Timings base = NodeSettings.Timings.defaults();
        return new NodeSettings(
                vm,
                zone,
                http,
                link,
                new NodeSettings.Timings(
                        millis("heartbeat_ms", base.heartbeatInterval()),
                        millis("suspect_after_ms", base.suspectTimeout()),
                        millis("probe_wait_ms", base.probeTimeout()),
                        millis("registry_poll_ms", base.registryPollInterval()),
                        millis("commit_interval_ms", base.commitInterval()),
                        writesPerSecond(base.platformWritesPerSecond()),
                        millis("platform_timeout_ms", base.platformTimeout()),
                        base.outageThreshold(),
                        base.pauseThreshold(),
                        base.ownerLookupTimeout(),
                        base.answerRetention(),
                        base.ticketLifetime(),
                        millis("drain_limit_ms", base.drainTimeout())));
    }

    private int writesPerSecond(int fallback) {
        Long set = timings.get("platform_writes_per_second");
        return set == null ? fallback : set.intValue();
    }

    private Duration millis(String name, Duration fallback) {
        Long set = timings.get(name);
        return set == null ? fallback : Duration.ofMillis(set);
    }
}
