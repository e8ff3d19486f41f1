package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.parsleydrift.registry.CallKind;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Team;
import org.parsleydrift.registry.TeamKeys;
import org.testng.annotations.Test;

/** Whose a request is. */
public class RequestMatchTest {
    private static final HeaderNames DIALECT = HeaderNames.defaults();

    private static TeamKeys.Holder holder(String name, String key) {
        return new TeamKeys.Holder(new Team(name, OptionalInt.empty(), Quota.UNLIMITED), List.of(key));
    }

    private static Route route(String prefix, boolean open) {
        return new Route(
                prefix,
                "h",
                prefix,
                CallKind.STREAMING,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                0,
                false,
                true,
                Duration.ofSeconds(60),
                open,
                List.of(new Destination("s", 1)));
    }

    private static RequestMatch match(Optional<TeamKeys> teams, String path, String key) {
        RoutingManifest manifest = new RoutingManifest(
                1, List.of(route("/closed/", false), route("/open/", true)), List.of(), CallerLimits.defaults(), teams);
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(DIALECT.key(), key);
        return RequestMatch.of(
                manifest, true, new CallerRequest("POST", path, "h", headers, new byte[0]), true, DIALECT);
    }

    private static String owner(Optional<TeamKeys> teams, String path, String key) {
        return ((RequestMatch.Found) match(teams, path, key)).owner();
    }

    /**
     * A caller that names another team's turn would be given what was said in it. Turns are kept under their owner's name, so
     * no two owners' names may run into the ids behind them: of teams, of none, and of callers on open routes.
     */
    @Test
    public void eachTeamOwnsItsTurnsAlone() {
        Optional<TeamKeys> teams = Optional.of(new TeamKeys(List.of(holder("a", "k1"), holder("a1:b:", "k2"))));
        String a = owner(teams, "/closed/", "k1");
        String longer = owner(teams, "/closed/", "k2");
        String open = owner(teams, "/open/", "k1");
        assertNotEquals(a, longer);
        assertNotEquals(a, open);
        assertNotEquals(a + "1:b:turn", longer + "turn");
        assertNotEquals(open + "turn", "turn");
        assertEquals(owner(Optional.empty(), "/closed/", "k1"), "");
    }

    @Test
    public void anotherTeamsKeyIsAnotherTeam() {
        Optional<TeamKeys> teams = Optional.of(new TeamKeys(List.of(holder("a", "k1"), holder("b", "k2"))));
        assertEquals(
                ((RequestMatch.Found) match(teams, "/closed/x", "k2"))
                        .team()
                        .orElseThrow()
                        .name(),
                "b");
        assertEquals(match(teams, "/closed/x", "k3"), new RequestMatch.Denied(401, "unknown_key"));
        assertEquals(match(teams, "/nowhere/", "k1"), new RequestMatch.Denied(404, "no_route"));
    }
}
