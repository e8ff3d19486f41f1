package org.parsleydrift.relay;

import java.util.List;
import java.util.Optional;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Team;
import org.parsleydrift.registry.TeamKeys;

/** Result of matching a request against the routes and API keys of a manifest. */
sealed interface RequestMatch {
    /**
     * The request has a route and, where one is required, a valid key.
     *
     * @param route the matched route
     * @param team the team that owns the key; empty if the route or the manifest requires none
     * @param owner prefix that separates the ids of this owner's turns and programs from those of others
     */
    record Found(Route route, Optional<Team> team, String owner) implements RequestMatch {}

    /**
     * The request is rejected for good.
     *
     * @param status HTTP status of the response
     * @param reason reason for logs and metrics; never contains the key
     */
    record Denied(int status, String reason) implements RequestMatch {}

    /**
     * A manifest that may be outdated has no route or key for the request, but the latest one may.
     *
     * @param reason reason for logs
     */
    record Unsure(String reason) implements RequestMatch {}

    /**
     * Matches a request. Callers do not retry after a missing route or key, so neither is reported under a manifest
     * that may be outdated.
     *
     * @param manifest the manifest in force
     * @param current whether the manifest is known to be the latest
     * @param request the request
     * @param readable whether its headers are well-formed
     * @param dialect names of the headers
     * @return the result
     */
    static RequestMatch of(
            RoutingManifest manifest, boolean current, CallerRequest request, boolean readable, HeaderNames dialect) {
        Optional<Route> route = manifest.match(request.host(), request.target());
        if (route.isEmpty()) {
            return current
                    ? new Denied(404, "no_route")
                    : new Unsure("no matching route in a manifest that may be outdated");
        }
        List<String> keys = request.headers().getAll(dialect.key());
        if (!readable || keys.size() > 1) {
            return new Denied(400, readable ? "two_keys" : "bad_headers");
        }
        if (manifest.teams().isEmpty()) {
            return new Found(route.get(), Optional.empty(), "");
        }
        if (route.get().anonymousAllowed()) {
            return new Found(route.get(), Optional.empty(), owner(""));
        }
        Optional<Team> team = holder(manifest.teams().get(), keys);
        if (team.isPresent()) {
            return new Found(route.get(), team, owner(team.get().name()));
        }
        return current ? new Denied(401, "unknown_key") : new Unsure("unknown key in a manifest that may be outdated");
    }

    /**
     * Looks up the team that owns the key of a request.
     *
     * @param manifest the manifest to look in
     * @param request the request
     * @param dialect names of the headers
     * @return the team; empty if there is no key or no team owns it
     */
    static Optional<Team> holder(RoutingManifest manifest, CallerRequest request, HeaderNames dialect) {
        return manifest.teams().flatMap(teams -> holder(teams, request.headers().getAll(dialect.key())));
    }

    private static Optional<Team> holder(TeamKeys teams, List<String> keys) {
        return keys.stream().findFirst().flatMap(teams::team);
    }

    /** Returns the owner prefix; the length of the name keeps the prefixes of different teams from overlapping. */
    private static String owner(String team) {
        return team.length() + ":" + team + ":";
    }
}
