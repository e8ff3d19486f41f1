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
    record Undetermined(String reason) implements RequestMatch {}

    /**
     * Matches a request. Callers do not retry after a missing route or key, so neither is reported under a manifest
     * that may be outdated.
     *
     * @param manifest the manifest in force
     * @param manifestCurrent whether the manifest is known to be the latest
     * @param request the request
     * @param headersValid whether its headers are well-formed
     * @param headerNames names of the headers
     * @return the result
     */
    static RequestMatch of(
            RoutingManifest manifest,
            boolean manifestCurrent,
            CallerRequest request,
            boolean headersValid,
            HeaderNames headerNames) {
        Optional<Route> route = manifest.match(request.host(), request.target());
        if (route.isEmpty()) {
            return manifestCurrent
                    ? new Denied(404, "no_route")
                    : new Undetermined("no matching route in a manifest that may be outdated");
        }
        List<String> keys = request.headers().getAll(headerNames.key());
        if (!headersValid || keys.size() > 1) {
            return new Denied(400, headersValid ? "two_keys" : "bad_headers");
        }
        if (manifest.teams().isEmpty()) {
            return new Found(route.get(), Optional.empty(), "");
        }
        if (route.get().anonymousAllowed()) {
            return new Found(route.get(), Optional.empty(), ownerPrefix(""));
        }
        Optional<Team> team = findTeam(manifest.teams().get(), keys);
        if (team.isPresent()) {
            return new Found(route.get(), team, ownerPrefix(team.get().name()));
        }
        return manifestCurrent
                ? new Denied(401, "unknown_key")
                : new Undetermined("unknown key in a manifest that may be outdated");
    }

    /**
     * Looks up the team that owns the key of a request.
     *
     * @param manifest the manifest to look in
     * @param request the request
     * @param headerNames names of the headers
     * @return the team; empty if there is no key or no team owns it
     */
    static Optional<Team> findTeam(RoutingManifest manifest, CallerRequest request, HeaderNames headerNames) {
        return manifest.teams()
                .flatMap(teams -> findTeam(teams, request.headers().getAll(headerNames.key())));
    }

    private static Optional<Team> findTeam(TeamKeys teams, List<String> keys) {
        return keys.stream().findFirst().flatMap(teams::team);
    }

    /** Returns the owner prefix; the length of the name keeps the prefixes of different teams from overlapping. */
    private static String ownerPrefix(String team) {
        return team.length() + ":" + team + ":";
    }
}
