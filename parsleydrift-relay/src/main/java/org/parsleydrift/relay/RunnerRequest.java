package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.Team;

/**
 * A request as it goes to a runner.
 *
 * @param id the id that the answer must bear
 * @param method the HTTP method
 * @param target path and query
 * @param headers its headers
 * @param body its body
 * @param repeatable whether it may be sent again if nothing comes back
 */
record RunnerRequest(String id, String method, String target, HttpHeaders headers, byte[] body, boolean repeatable) {
    /** Makes the request that goes to one runner: the caller's, with the headers that are the system's to set. */
    static RunnerRequest of(
            CallerRequest request,
            RequestFacts facts,
            Optional<Team> team,
            HeaderNames dialect,
            Runner runner,
            long leftMillis,
            byte[] body,
            boolean repeatable) {
        HttpHeaders headers = ForwardedHeaders.toRunner(request.headers(), dialect);
        headers.set(dialect.requestId(), facts.id());
        headers.set(dialect.deadlineMillis(), leftMillis);
        headers.set(dialect.expectInstance(), runner.id());
        team.ifPresent(each -> headers.set(dialect.team(), each.name()));
        headers.set("Host", request.host());
        if (body.length > 0 || !"GET".equals(request.method())) {
            headers.setInt("Content-Length", body.length);
        }
        return new RunnerRequest(facts.id(), request.method(), request.target(), headers, body, repeatable);
    }
}
