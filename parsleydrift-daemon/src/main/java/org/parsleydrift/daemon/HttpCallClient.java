package org.parsleydrift.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpClientResponse;
import org.parsleydrift.wire.HttpException;
import org.parsleydrift.wire.HttpRequestSpec;

/** Calls tools and services over HTTP, on a new connection each; see {@link HttpRequestSpec#reuseConnection()}. */
final class HttpCallClient implements CallClient {
    private final HttpClient client;

    HttpCallClient(HttpClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<String> call(String upstream, CallRequest request, Duration timeout) {
        byte[] body;
        try {
            body = JsonDocument.MAPPER.writeValueAsString(request).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException fault) {
            return CompletableFuture.failedFuture(
                    new CallException(Step.CALL, upstream, CallFailure.NOT_RUN, false, fault.getMessage()));
        }
        return client.send(new HttpRequestSpec(upstream, "POST", "/v1/calls", body, timeout, false))
                .handle((answer, failure) -> {
                    if (failure == null) {
                        return requireSuccess(upstream, answer);
                    }
                    boolean sent =
                            !(StepException.unwrap(failure) instanceof HttpException known) || known.isPossiblySent();
                    throw new CallException(
                            Step.CALL,
                            upstream,
                            sent ? CallFailure.UNKNOWN : CallFailure.NOT_RUN,
                            false,
                            StepException.unwrap(failure).getMessage());
                });
    }

    private static String requireSuccess(String upstream, HttpClientResponse answer) {
        if (answer.status() == 200) {
            return answer.text();
        }
        boolean leaving = answer.status() == 503;
        throw new CallException(
                Step.CALL,
                upstream,
                leaving ? CallFailure.NOT_RUN : CallFailure.FAILED,
                leaving,
                "status " + answer.status());
    }
}
