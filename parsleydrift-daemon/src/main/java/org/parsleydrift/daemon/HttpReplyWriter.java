package org.parsleydrift.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.wire.HttpExchange;

/** Writes replies to callers as JSON, or as server-sent events when the answer is streamed. */
final class HttpReplyWriter {
    private static final String JSON = "application/json";
    private static final long MILLIS_PER_SECOND = 1000;

    private HttpReplyWriter() {}

    static String toJson(Object value) {
        try {
            return JsonDocument.MAPPER.writeValueAsString(value) + "\n";
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Writes the final reply; a reply that is not final aborts the exchange. */
    static void writeFinal(HttpExchange exchange, CallerReply reply) {
        switch (reply) {
            case CallerReply.Accepted accepted ->
                exchange.respond(
                        202,
                        JSON,
                        toJson(Map.of(
                                "program", accepted.id().toString(),
                                "generation", accepted.generation())),
                        Map.of());
            case CallerReply.Answer answer ->
                exchange.respond(
                        status(answer.outcome()),
                        JSON,
                        toJson(Map.of(
                                "outcome", answer.outcome().name().toLowerCase(Locale.ROOT), "body", answer.body())),
                        Map.of());
            case CallerReply.Explained explained -> exchange.respond(200, JSON, toJson(explained.facts()), Map.of());
            case CallerReply.Refused refused -> refuse(exchange, refused);
            case CallerReply.Ended ended -> exchange.respond(200, JSON, toJson(end(ended)), Map.of());
            case CallerReply.Output ignored -> exchange.abort();
            case CallerReply.Rewind ignored -> exchange.abort();
            case CallerReply.Moved ignored -> exchange.abort();
            case CallerReply.Progress ignored -> exchange.abort();
        }
    }

    /** Writes an error with its step and peer, and a {@code Retry-After} header if the caller may retry. */
    static void refuse(HttpExchange exchange, CallerReply.Refused refused) {
        Map<String, String> headers = refused.retryAfterMillis() > 0
                ? Map.of(
                        "Retry-After",
                        Long.toString((refused.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND))
                : Map.of();
        exchange.respond(status(refused), JSON, toJson(error(refused)), headers);
    }

    /**
     * Streams an answer as events {@code output}, {@code rewind}, {@code end} and {@code error}. A stream that closes
     * without {@code end} or {@code error} is incomplete.
     */
    static void stream(HttpExchange exchange, EventLoop loop, Function<ReplySink, Runnable> open) {
        boolean[] begun = {false};
        Runnable cancel = open.apply(reply -> {
            if (!begun[0] && reply instanceof CallerReply.Refused refused) {
                refuse(exchange, refused);
                return;
            }
            if (!begun[0]) {
                begun[0] = true;
                exchange.beginStream("text/event-stream");
            }
            exchange.write(event(reply));
            if (reply.last()) {
                exchange.endStream();
            }
        });
        exchange.onClose(() -> loop.execute(cancel));
    }

    private static String event(CallerReply reply) {
        return switch (reply) {
            case CallerReply.Output output -> event("output", Map.of("offset", output.offset(), "text", output.text()));
            case CallerReply.Rewind rewind -> event("rewind", Map.of("offset", rewind.offset()));
            case CallerReply.Ended ended -> event("end", end(ended));
            case CallerReply.Refused refused -> event("error", error(refused));
            case CallerReply.Answer answer ->
                event("end", Map.of("outcome", answer.outcome(), "text", answer.body(), "length", 0));
            case CallerReply.Accepted ignored -> ": accepted\n\n";
            case CallerReply.Explained ignored -> ": explained\n\n";
            case CallerReply.Moved ignored -> ": moved\n\n";
            case CallerReply.Progress ignored -> ": alive\n\n";
        };
    }

    private static String event(String name, Object data) {
        return "event: " + name + "\ndata: " + toJson(data) + "\n";
    }

    private static Map<String, Object> end(CallerReply.Ended ended) {
        Map<String, Object> end = new LinkedHashMap<>();
        end.put("end", ended.end().name().toLowerCase(Locale.ROOT));
        end.put("detail", ended.detail());
        end.put("length", ended.length());
        return end;
    }

    private static Map<String, Object> error(CallerReply.Refused refused) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("error", refused.kind().name().toLowerCase(Locale.ROOT));
        error.put("step", refused.step());
        error.put("peer", refused.peer());
        error.put("message", refused.message());
        error.put("retry_after_ms", refused.retryAfterMillis());
        return error;
    }

    private static int status(CallOutcome outcome) {
        return switch (outcome) {
            case OK -> 200;
            case FAILED -> 502;
            case NOT_RUN -> 503;
            case OUTCOME_UNKNOWN -> 504;
            case BLOCKED -> 409;
        };
    }

    private static int status(CallerReply.Refused refused) {
        return switch (refused.kind()) {
            case NOT_RUN -> 503;
            case OUTCOME_UNKNOWN -> 504;
            case EXPIRED -> 410;
            case BAD_REQUEST -> 400;
            case UNKNOWN_PROGRAM -> 404;
        };
    }
}
