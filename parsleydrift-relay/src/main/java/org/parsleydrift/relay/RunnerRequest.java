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
 * @param retriable whether the request may be retried after an unknown outcome
 */
record RunnerRequest(String id, String method, String target, HttpHeaders headers, byte[] body, boolean retriable) {
    /** Builds the request to a runner from that of the caller, replacing the headers that only the system sets. */
    static RunnerRequest of(
            CallerRequest request,
            RequestParameters parameters,
            Optional<Team> team,
            HeaderNames headerNames,
            Runner runner,
            long leftMillis,
            byte[] body,
            boolean retriable) {
        HttpHeaders headers = ForwardedHeaders.toRunner(request.headers(), headerNames);
        headers.set(headerNames.requestId(), parameters.id());
        headers.set(headerNames.deadlineMillis(), leftMillis);
        headers.set(headerNames.expectInstance(), runner.id());
        team.ifPresent(each -> headers.set(headerNames.team(), each.name()));
        headers.set("Host", request.host());
        if (body.length > 0 || !"GET".equals(request.method())) {
            headers.setInt("Content-Length", body.length);
        }
        return new RunnerRequest(parameters.id(), request.method(), request.target(), headers, body, retriable);
    }
}
