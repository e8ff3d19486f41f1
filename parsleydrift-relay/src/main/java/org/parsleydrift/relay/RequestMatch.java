package org.parsleydrift.relay;

import java.util.List;
import java.util.Optional;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Team;
import org.parsleydrift.registry.TeamKeys;

/** Where a request may go, and whose it is, by the manifest in force. Pure. */
sealed interface RequestMatch {
    /**
     * It may go on.
     *
     * @param route its route
     * @param team the team that holds its key; empty where none is asked for
     * @param owner whose its turns and programs are: no other owner finds them
     */
    record Found(Route route, Optional<Team> team, String owner) implements RequestMatch {}

    /**
     * It is never to run.
     *
     * @param status the status that says so
     * @param reason why, for logs; without the key
     */
    record Denied(int status, String reason) implements RequestMatch {}

    /**
     * Only an older manifest denies it, and the newest may not.
     *
     * @param reason why, for logs
     */
    record Unsure(String reason) implements RequestMatch {}

    /**
     * Matches a request. Callers don't try again once they were told that there is no such route or key. A manifest that may
     * be old can't tell: a route or key that was added in a silence of the platform would be denied to them.
     *
     * @param manifest the manifest in force
     * @param current whether it is known to be the newest
     * @param request the request
     * @param readable whether its headers make sense
     * @param dialect header names
     * @return what holds
     */
    static RequestMatch of(
            RoutingManifest manifest, boolean current, CallerRequest request, boolean readable, HeaderNames dialect) {
        Optional<Route> route = manifest.match(request.host(), request.target());
        if (route.isEmpty()) {
            return current ? new Denied(404, "no_route") : new Unsure("no route in a manifest that may be old");
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
        return current ? new Denied(401, "unknown_key") : new Unsure("unknown key in a manifest that may be old");
    }

    /**
     * Whose the key of a request is by another manifest, perhaps a newer one.
     *
     * @param manifest the manifest
     * @param request the request
     * @param dialect header names
     * @return the team, if any holds the key
     */
    static Optional<Team> holder(RoutingManifest manifest, CallerRequest request, HeaderNames dialect) {
        return manifest.teams().flatMap(teams -> holder(teams, request.headers().getAll(dialect.key())));
    }

    private static Optional<Team> holder(TeamKeys teams, List<String> keys) {
        return keys.stream().findFirst().flatMap(teams::team);
    }

    /** The length keeps one team's name from being taken for the start of another's. */
    private static String owner(String team) {
        return team.length() + ":" + team + ":";
    }
}
