package org.parsleydrift.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.kernel.upstream.EngineMemory;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;
import org.parsleydrift.wire.HttpCall;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpClientResponse;
import org.parsleydrift.wire.HttpException;
import org.parsleydrift.wire.HttpRequestSpec;
import org.parsleydrift.wire.LineSplitter;

/**
 * HTTP client of model engines. A turn is a stream of JSON lines, each with a stream id and the id of the engine process; the
 * last has {@code done}.
 */
final class HttpEngineClient implements EngineClient {
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_RESUMES = 2;

    private final HttpClient client;

    HttpEngineClient(HttpClient client) {
        this.client = client;
    }

    @Override
    public Cancellable runTurn(
            String runner, TurnRequest request, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
        Turn turn = new Turn(runner, request, tokens, done);
        turn.open();
        return turn::cancel;
    }

    @Override
    public CompletableFuture<Void> release(String runner, String owner) {
        String target = "/v1/memory?owner=" + URLEncoder.encode(owner, StandardCharsets.UTF_8);
        return client.send(HttpRequestSpec.of(runner, "DELETE", target, REQUEST_TIMEOUT))
                .thenAccept(answer -> {});
    }

    @Override
    public CompletableFuture<List<EngineMemory>> listMemory(String runner) {
        return client.send(HttpRequestSpec.of(runner, "GET", "/v1/memory", REQUEST_TIMEOUT))
                .thenApply(answer -> {
                    try {
                        return JsonDocument.MAPPER.readValue(answer.text(), new TypeReference<List<EngineMemory>>() {});
                    } catch (JsonProcessingException fault) {
                        throw new CallException(
                                Step.TURN, runner, CallFailure.FAILED, false, "memory list is not valid JSON");
                    }
                });
    }

    /**
     * One turn, resumed on a new connection after a failure, but only at the engine process that began its text: another
     * one generates another text. Synchronized on itself.
     */
    private final class Turn {
        private final String runner;
        private final TurnRequest request;
        private final Consumer<String> tokens;
        private final CompletableFuture<TurnResult> done;
        private final StringBuilder text = new StringBuilder();
        private final LineSplitter lines = new LineSplitter(this::handleLine);
        private String engine = "";
        private HttpCall call;
        private int resumes;
        private boolean cancelled;

        private Turn(String runner, TurnRequest request, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
            this.runner = runner;
            this.request = request;
            this.tokens = tokens;
            this.done = done;
        }

        private synchronized void open() {
            if (cancelled) {
                return;
            }
            lines.reset();
            ObjectNode body = JsonDocument.MAPPER.valueToTree(request);
            body.put("skip", text.length());
            byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
            call = client.stream(
                    new HttpRequestSpec(runner, "POST", "/v1/turns", bytes, STREAM_IDLE_TIMEOUT, true),
                    this::handleBytes);
            call.response().whenComplete(this::onClosed);
        }

        private synchronized void cancel() {
            cancelled = true;
            call.cancel().run();
        }

        private synchronized void handleBytes(byte[] bytes) {
            lines.append(bytes);
        }

        private void handleLine(String json) {
            if (done.isDone()) {
                return;
            }
            try {
                JsonNode node = JsonDocument.MAPPER.readTree(json);
                if (!request.streamId().equals(node.path("stream").asText())) {
                    // Accepting a line of another stream would mix the histories of two programs.
                    fail(
                            CallFailure.UNKNOWN,
                            false,
                            "expected stream " + request.streamId() + ", got " + node.path("stream"));
                    call.cancel().run();
                } else if (!isContinuedBy(node.path("engine").asText())) {
                    fail(
                            CallFailure.UNKNOWN,
                            false,
                            "text began at engine " + engine + ", and goes on at " + node.path("engine"));
                    call.cancel().run();
                } else if (node.path("done").asBoolean()) {
                    finish(node);
                } else {
                    String piece = node.path("text").asText();
                    text.append(piece);
                    tokens.accept(piece);
                }
            } catch (JsonProcessingException fault) {
                fail(CallFailure.UNKNOWN, false, "stream line is not valid JSON");
                call.cancel().run();
            }
        }

        /** Returns whether an engine process can add to the text; one that does not name itself cannot resume it. */
        private boolean isContinuedBy(String process) {
            if (text.isEmpty()) {
                engine = process;
            }
            return engine.equals(process) && (resumes == 0 || text.isEmpty() || !process.isEmpty());
        }

        private void finish(JsonNode node) {
            if (node.path("length").asInt() != text.length()) {
                fail(
                        CallFailure.UNKNOWN,
                        false,
                        "stream truncated: got " + text.length() + " of " + node.path("length") + " characters");
                return;
            }
            List<String> actions = new ArrayList<>();
            node.path("actions").forEach(action -> actions.add(action.asText()));
            done.complete(new TurnResult(
                    text.toString(),
                    actions,
                    node.path("prompt_tokens").asInt(),
                    node.path("cached_tokens").asInt(),
                    node.path("output_tokens").asInt()));
        }

        private synchronized void onClosed(HttpClientResponse answer, Throwable failure) {
            if (done.isDone() || cancelled) {
                return;
            }
            if (failure == null) {
                boolean leaving = answer.status() == 503;
                fail(leaving ? CallFailure.NOT_RUN : CallFailure.UNKNOWN, leaving, "status " + answer.status());
                return;
            }
            boolean sent = !(StepException.unwrap(failure) instanceof HttpException known) || known.isPossiblySent();
            if (sent && resumes < MAX_RESUMES) {
                // The connection failed or timed out; the engine resumes the stream at the length received.
                resumes++;
                open();
                return;
            }
            boolean neverSent = !sent && resumes == 0;
            fail(neverSent ? CallFailure.NOT_RUN : CallFailure.UNKNOWN, false, String.valueOf(failure.getMessage()));
        }

        private void fail(CallFailure kind, boolean leaving, String reason) {
            done.completeExceptionally(new CallException(Step.TURN, runner, kind, leaving, reason));
        }
    }
}
