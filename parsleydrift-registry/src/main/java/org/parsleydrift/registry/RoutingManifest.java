package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Routes and services in force. Immutable. A match costs one look-up per slash of the path, however many routes. */
public final class RoutingManifest {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Map<String, UpstreamService> services;
    private final CallerLimits limits;
    private final Optional<TeamKeys> teams;

    /**
     * Makes a manifest that names no teams.
     *
     * @param version its version
     * @param routes its routes
     * @param services its services
     * @param limits limits for callers
     */
    public RoutingManifest(long version, List<Route> routes, List<UpstreamService> services, CallerLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * Makes a manifest.
     *
     * @param version its version
     * @param routes its routes
     * @param services its services
     * @param limits limits for callers
     * @param teams whose each key is; empty if callers need none
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
    }

    /**
     * The version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Whose each key is.
     *
     * @return the teams' keys; empty if callers need none
     */
    public Optional<TeamKeys> teams() {
        return teams;
    }

    /**
     * Finds the route with the longest prefix.
     *
     * @param host the host, with or without a port
     * @param target path and query
     * @return the route, if one matches
     */
    public Optional<Route> match(String host, String target) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
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
     * A service.
     *
     * @param name its name
     * @return the service, if the manifest has it
     */
    public Optional<UpstreamService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
