package org.parsleydrift.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpClientResponse;
import org.parsleydrift.wire.HttpRequestSpec;
import org.parsleydrift.wire.NetworkThreads;

/**
 * Blocking client of the caller API. Retries requests with the same key on other entry nodes, and resumes interrupted
 * answers at the offset received.
 */
public final class CallerClient implements AutoCloseable {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(4);
    private static final int MAX_ATTEMPTS = 20;
    private static final long RETRY_DELAY_MILLIS = 250;

    private final List<String> entries;
    private final NetworkThreads threads = new NetworkThreads("caller", 2);
    private final HttpClient client = new HttpClient(threads);

    /**
     * Creates a client.
     *
     * @param entries addresses of entry nodes as host:port, not empty
     */
    public CallerClient(List<String> entries) {
        this.entries = new ArrayList<>(entries);
    }

    /**
     * Requests an entry node and a ticket for a team.
     *
     * @param team the caller's team
     * @return the assigned entry node and the ticket as JSON
     * @throws CallerException if no node answers
     */
    public JsonNode entry(String team) {
        return call("GET", "/v1/entry?team=" + team, "");
    }

    /**
     * Starts a program; idempotent for the same ticket, team and key.
     *
     * @param ticket the ticket from {@link #entry}
     * @param team the caller's team
     * @param key the caller's key
     * @param agent the agent's name in the manifest
     * @param prompt the first input of the program
     * @return the program's id
     * @throws CallerException if it is refused or no node answers
     */
    public String start(String ticket, String team, String key, String agent, String prompt) {
        ObjectNode body = JsonDocument.MAPPER.createObjectNode();
        body.put("ticket", ticket)
                .put("team", team)
                .put("key", key)
                .put("agent", agent)
                .put("prompt", prompt);
        return call("POST", "/v1/programs", body.toString()).path("program").asText();
    }

    /**
     * Sends a message to a program; idempotent for the same key.
     *
     * @param program the program's id
     * @param key the key that identifies the message
     * @param text the message
     * @return the reply as JSON
     * @throws CallerException if it is refused or no node answers
     */
    public JsonNode send(String program, String key, String text) {
        ObjectNode body = JsonDocument.MAPPER.createObjectNode();
        body.put("key", key).put("text", text);
        return call("POST", "/v1/programs/" + program + "/messages", body.toString());
    }

    /**
     * Sends a request, retrying on the next entry node while none answers or the request may be retried.
     *
     * @param method the HTTP method
     * @param target path and query
     * @param body the body, empty for none
     * @return the answer as JSON
     * @throws CallerException if it is refused or no node answers
     */
    public JsonNode call(String method, String target, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StepException last = null;
        for (int round = 0; round < MAX_ATTEMPTS; round++) {
            String address = entries.get(round % entries.size());
            try {
                HttpClientResponse answer = client.send(
                                new HttpRequestSpec(address, method, target, bytes, IDLE_TIMEOUT, false))
                        .join();
                return read(address, answer);
            } catch (CompletionException failure) {
                last = new CallerException(
                        ExitCode.UNREACHABLE,
                        Step.FORWARD,
                        address,
                        StepException.unwrap(failure).getMessage(),
                        RETRY_DELAY_MILLIS);
                pause();
            } catch (CallerException refusal) {
                if (refusal.retryAfterMillis() == 0) {
                    throw refusal;
                }
                last = refusal;
                pause();
            }
        }
        throw last;
    }

    /**
     * Reads a program's answer to its end, reconnecting after interruptions.
     *
     * @param program the program's id
     * @param offset number of characters already read
     * @param pieces receives each piece of output; text withdrawn by a rewind is not reported
     * @return the answer from the offset on, with the end event
     * @throws CallerException if the request is refused, or the answer is not complete after all attempts
     */
    public ProgramAnswer watch(String program, long offset, Consumer<String> pieces) {
        AnswerReader reader = new AnswerReader(offset, pieces);
        for (int round = 0; round < MAX_ATTEMPTS; round++) {
            String address = entries.get(round % entries.size());
            HttpRequestSpec request = HttpRequestSpec.of(
                    address,
                    "GET",
                    "/v1/programs/" + program + "/answer?offset=" + reader.offset(),
                    STREAM_IDLE_TIMEOUT);
            reader.newConnection();
            CompletableFuture<HttpClientResponse> closed =
                    client.stream(request, reader::append).response();
            try {
                HttpClientResponse answer = closed.join();
                if (answer.status() >= 300) {
                    read(address, answer);
                }
            } catch (CompletionException cut) {
                // The connection failed or timed out; the next one resumes at the offset received.
                pause();
            } catch (CallerException refusal) {
                if (refusal.retryAfterMillis() == 0) {
                    throw refusal;
                }
                pause();
            }
            if (reader.hasEnded()) {
                return reader.answer();
            }
            if (reader.pollProgress()) {
                round = 0;
            }
        }
        throw new CallerException(
                ExitCode.UNREACHABLE,
                Step.FORWARD,
                "entry",
                "answer incomplete after " + MAX_ATTEMPTS + " attempts without progress",
                0);
    }

    @Override
    public void close() {
        threads.close();
    }

    private static JsonNode read(String address, HttpClientResponse answer) {
        JsonNode body;
        try {
            body = JsonDocument.MAPPER.readTree(answer.text().isBlank() ? "{}" : answer.text());
        } catch (JsonProcessingException fault) {
            throw new CallerException(
                    ExitCode.UNREACHABLE,
                    Step.PARSE,
                    address,
                    "response is not valid JSON, status " + answer.status(),
                    0);
        }
        if (answer.status() < 300) {
            return body;
        }
        String kind = body.path("error").asText("");
        int code = "outcome_unknown".equals(kind) ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
        throw new CallerException(
                code,
                step(body),
                body.path("peer").asText(address),
                kind + ": " + body.path("message").asText(answer.text()),
                body.path("retry_after_ms").asLong(0));
    }

    private static Step step(JsonNode body) {
        try {
            return Step.valueOf(body.path("step").asText());
        } catch (IllegalArgumentException unknown) {
            return Step.CALL;
        }
    }

    private static void pause() {
        java.util.concurrent.locks.LockSupport.parkNanos(RETRY_DELAY_MILLIS * 1_000_000);
    }
}
