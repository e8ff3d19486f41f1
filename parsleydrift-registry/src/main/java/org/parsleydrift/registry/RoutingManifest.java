package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Immutable set of routes, services, limits and teams. Matching a path takes one lookup per slash, independent of the
 * number of routes.
 */
public final class RoutingManifest {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Set<String> routeNames;
    private final Map<String, UpstreamService> services;
    private final CallerLimits limits;
    private final Optional<TeamKeys> teams;
    private final boolean streamsStateful;
    private final Map<String, Integer> bestPriorities;

    /**
     * Creates a manifest without teams: callers need no API keys.
     *
     * @param version version of the manifest
     * @param routes all routes
     * @param services all services
     * @param limits limits for callers
     */
    public RoutingManifest(long version, List<Route> routes, List<UpstreamService> services, CallerLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * Creates a manifest.
     *
     * @param version version of the manifest
     * @param routes all routes
     * @param services all services
     * @param limits limits for callers
     * @param teams teams and their API keys; empty if callers need no keys
     */
    public RoutingManifest(
            long version,
            List<Route> routes,
            List<UpstreamService> services,
            CallerLimits limits,
            Optional<TeamKeys> teams) {
        this.version = version;
        this.limits = limits;
        this.teams = teams;
        this.services =
                services.stream().collect(Collectors.toUnmodifiableMap(UpstreamService::name, Function.identity()));
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        routes.forEach(route -> byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), any -> new HashMap<>())
                .put(route.pathPrefix(), route));
        this.routesByHost = byHost;
        this.routeNames = routes.stream().map(Route::name).collect(Collectors.toUnmodifiableSet());
        this.streamsStateful = routes.stream().anyMatch(Route::isStreaming)
                && routes.stream().filter(Route::isStreaming).allMatch(Route::stateful);
        OptionalInt bestOfTeams = teams.map(TeamKeys::bestPriority).orElse(OptionalInt.empty());
        this.bestPriorities = routes.stream()
                .flatMap(route -> route.destinations().stream()
                        .map(each -> Map.entry(
                                each.service(), Math.min(route.priority(), bestOfTeams.orElse(route.priority())))))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue, Math::min));
    }

    /**
     * Returns the version of the manifest.
     *
     * @return version number stated in the manifest
     */
    public long version() {
        return version;
    }

    /**
     * Returns the names of all routes.
     *
     * @return the names
     */
    public Set<String> routeNames() {
        return routeNames;
    }

    /**
     * Returns the limits for callers.
     *
     * @return size limits and timeouts
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the teams by API key.
     *
     * @return teams and their API keys; empty if callers need no keys
     */
    public Optional<TeamKeys> teams() {
        return teams;
    }

    /**
     * Whether the turns of all event streams are stored, so that any node can tell the programs in progress from new
     * ones.
     *
     * @return true if there is a streaming route and all of them are stateful
     */
    public boolean areStreamsStateful() {
        return streamsStateful;
    }

    /**
     * Returns the best priority that a request of a service can have, by its route or its team.
     *
     * @param service name of the service
     * @return the priority; 0 is the highest, also if no route leads to the service
     */
    public int bestPriority(String service) {
        return bestPriorities.getOrDefault(service, 0);
    }

    /**
     * Returns the name by which requests for a host are matched.
     *
     * @param host value of the {@code Host} header
     * @return the host name in lower case, without a port
     */
    public static String hostName(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host host name, with or without a port, in any case
     * @param target path, with or without a query
     * @return the route; empty if none matches
     */
    public Optional<Route> match(String host, String target) {
        String name = hostName(host);
        Map<String, Route> byPrefix = routesByHost.get(name);
        if (byPrefix == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a service.
     *
     * @param name name of the service
     * @return the service; empty if the manifest does not contain it
     */
    public Optional<UpstreamService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
