package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
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
 * @param body the parts of the body in their order; empty if there is none
 * @param retriable whether the request may be retried after an unknown outcome
 */
record RunnerRequest(
        String id, String method, String target, HttpHeaders headers, List<byte[]> body, boolean retriable) {
    /** Builds the request to a runner from that of the caller, replacing the headers that only the system sets. */
    static RunnerRequest of(
            CallerRequest request,
            RequestParameters parameters,
            Optional<Team> team,
            HeaderNames headerNames,
            Runner runner,
            long leftMillis,
            List<byte[]> body,
            boolean retriable) {
        HttpHeaders headers = ForwardedHeaders.toRunner(request.headers(), headerNames);
        headers.set(headerNames.requestId(), parameters.id());
        headers.set(headerNames.deadlineMillis(), leftMillis);
        headers.set(headerNames.expectInstance(), runner.id());
        team.ifPresent(each -> headers.set(headerNames.team(), each.name()));
        headers.set("Host", request.host());
        var result = new RunnerRequest(parameters.id(), request.method(), request.target(), headers, body, retriable);
        if (result.bodyBytes() > 0 || !"GET".equals(request.method())) {
            headers.set("Content-Length", result.bodyBytes());
        }
        return result;
    }

    /** Returns the size of the body, bytes. */
    long bodyBytes() {
        return body.stream().mapToLong(part -> part.length).sum();
    }
}
