package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.Team;

/**
 * A request to a runner.
 *
 * @param id request id, which the response must repeat
 * @param method the HTTP method
 * @param target path and query
 * @param headers headers to send
 * @param body the body; empty if there is none
 * @param repeatable whether the request may be retried after an unknown outcome
 */
record RunnerRequest(String id, String method, String target, HttpHeaders headers, byte[] body, boolean repeatable) {
    /** Builds the request to a runner from that of the caller, replacing the headers that only the system sets. */
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
