package org.parsleydrift.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.manifest.OperationSpec;
import org.parsleydrift.node.Node;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpHandler;

/** HTTP API for callers and operators (docs/API.md). */
final class CallerApi implements HttpHandler {
    private static final String JSON = "application/json";
    private static final String PROGRAMS = "/v1/programs/";
    private static final String SERVICES = "/v1/services/";

    private final EventLoop loop;
    private final Node node;
    private final PrometheusMeterRegistry meters;

    CallerApi(EventLoop loop, Node node, PrometheusMeterRegistry meters) {
        this.loop = loop;
        this.node = node;
        this.meters = meters;
    }

    @Override
    public void handle(HttpExchange exchange) {
        loop.execute(() -> {
            try {
                route(exchange);
            } catch (JsonProcessingException fault) {
                HttpReplyWriter.refuse(exchange, badRequest("body is not JSON: " + fault.getOriginalMessage()));
            } catch (StepException fault) {
                HttpReplyWriter.refuse(exchange, badRequest(fault.getMessage()));
            } catch (NumberFormatException fault) {
                HttpReplyWriter.refuse(exchange, badRequest("not a number: " + fault.getMessage()));
            }
        });
    }

    private void route(HttpExchange exchange) throws JsonProcessingException {
        String path = exchange.path();
        switch (exchange.method() + " " + path) {
            case "GET /health" -> exchange.respond(200, JSON, "{\"alive\":true}\n", Map.of());
            case "GET /ready" ->
                exchange.respond(node.isReady() ? 200 : 503, JSON, "{\"ready\":" + node.isReady() + "}\n", Map.of());
            case "GET /metrics" -> exchange.respond(200, "text/plain; version=0.0.4", meters.scrape(), Map.of());
            case "GET /v1/status" -> exchange.respond(200, JSON, HttpReplyWriter.toJson(node.status()), Map.of());
            case "GET /v1/entry" -> assignEntryNode(exchange);
            case "GET /v1/manifest" -> showManifest(exchange);
            case "PUT /v1/manifest" -> submitManifest(exchange);
            case "POST /v1/programs" -> start(exchange);
            default -> routeByPrefix(exchange, path);
        }
    }

    private void routeByPrefix(HttpExchange exchange, String path) throws JsonProcessingException {
        if (path.startsWith(SERVICES) && "POST".equals(exchange.method())) {
            callService(exchange, path.substring(SERVICES.length()));
        } else if (path.startsWith(PROGRAMS)) {
            routeProgram(exchange, List.of(path.substring(PROGRAMS.length()).split("/", -1)));
        } else {
            exchange.respond(404, JSON, "{\"error\":\"bad_request\",\"message\":\"no such path\"}\n", Map.of());
        }
    }

    private void routeProgram(HttpExchange exchange, List<String> parts) throws JsonProcessingException {
        ProgramId id = ProgramId.parse(parts.getFirst());
        String action = exchange.method() + (parts.size() > 1 ? " " + parts.get(1) : "");
        switch (action) {
            case "GET" -> single(exchange, new CallerRequest.Explain(id));
            case "DELETE" -> single(exchange, new CallerRequest.Cancel(id));
            case "GET answer" ->
                HttpReplyWriter.stream(
                        exchange,
                        loop,
                        sink -> node.open(
                                new CallerRequest.Attach(id, Long.parseLong(exchange.queryParameter("offset", "0"))),
                                sink));
            case "POST messages" -> {
                JsonNode body = JsonDocument.MAPPER.readTree(exchange.body());
                single(exchange, new CallerRequest.Send(id, requireText(body, "key"), requireText(body, "text")));
            }
            default ->
                exchange.respond(404, JSON, "{\"error\":\"bad_request\",\"message\":\"no such path\"}\n", Map.of());
        }
    }

    private void start(HttpExchange exchange) throws JsonProcessingException {
        JsonNode body = JsonDocument.MAPPER.readTree(exchange.body());
        single(
                exchange,
                new CallerRequest.Start(
                        programId(body),
                        requireText(body, "agent"),
                        requireText(body, "prompt"),
                        isFirstAttempt(body)));
    }

    private void callService(HttpExchange exchange, String service) throws JsonProcessingException {
        JsonNode body = JsonDocument.MAPPER.readTree(exchange.body());
        OperationSpec spec = node.manifest().manifest().services().get(service);
        if (spec != null && spec.repeatable()) {
            node.callRepeatable(service, body.path("body").toString())
                    .whenComplete((end, failure) -> HttpReplyWriter.writeFinal(
                            exchange,
                            failure == null
                                    ? new CallerReply.Answer(end.outcome(), end.answer())
                                    : notRun(failure.getMessage())));
            return;
        }
        single(
                exchange,
                new CallerRequest.CallService(
                        programId(body), service, body.path("body").toString(), isFirstAttempt(body)));
    }

    private void single(HttpExchange exchange, CallerRequest request) {
        Runnable cancel = node.open(request, reply -> {
            if (reply.last()) {
                HttpReplyWriter.writeFinal(exchange, reply);
            }
        });
        exchange.onClose(() -> loop.execute(cancel));
    }

    private void assignEntryNode(HttpExchange exchange) {
        node.assignEntryNode(exchange.queryParameter("team", "any"))
                .ifPresentOrElse(
                        assignment -> exchange.respond(200, JSON, HttpReplyWriter.toJson(assignment), Map.of()),
                        () -> HttpReplyWriter.refuse(exchange, notRun("not ready")));
    }

    private void showManifest(HttpExchange exchange) {
        if (node.manifest().version() == null) {
            exchange.respond(404, JSON, "{\"error\":\"none\",\"message\":\"no manifest is in force\"}\n", Map.of());
        } else {
            exchange.respond(200, JSON, HttpReplyWriter.toJson(node.manifest().version()), Map.of());
        }
    }

    private void submitManifest(HttpExchange exchange) {
        long expected = Long.parseLong(exchange.queryParameter("expected", "-1"));
        node.submitManifest(exchange.body(), expected).whenComplete((version, failure) -> {
            if (failure == null) {
                exchange.respond(200, JSON, "{\"generation\":" + version.generation() + "}\n", Map.of());
                return;
            }
            Throwable cause = StepException.unwrap(failure);
            if (cause instanceof StepException known && known.step() == Step.ADMIT) {
                HttpReplyWriter.refuse(exchange, notRun(known.getMessage()));
                return;
            }
            int status = cause instanceof StoreException ? 503 : 409;
            exchange.respond(status, JSON, HttpReplyWriter.toJson(manifestError(cause)), Map.of());
        });
    }

    private static Map<String, Object> manifestError(Throwable cause) {
        Map<String, Object> error = new LinkedHashMap<>();
        boolean outcomeUnknown = cause instanceof StoreException;
        error.put("error", outcomeUnknown ? "outcome_unknown" : "not_run");
        if (cause instanceof StepException known) {
            error.put("step", known.step());
            error.put("peer", known.peer());
        }
        error.put("message", String.valueOf(cause.getMessage()));
        if (cause instanceof InvalidJsonException faults) {
            error.put("faults", faults.errors());
        }
        return error;
    }

    /** Whether the caller marked this as its first attempt; retries must omit the mark. */
    private static boolean isFirstAttempt(JsonNode body) {
        return body.path("first").asBoolean(false);
    }

    private static ProgramId programId(JsonNode body) {
        return ProgramId.parse(
                requireText(body, "ticket") + "~" + requireText(body, "team") + "~" + requireText(body, "key"));
    }

    private static String requireText(JsonNode body, String field) {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw new StepException(
                    Step.PARSE, "caller", "field " + field + " must be a string, got " + value.getNodeType());
        }
        return value.asText();
    }

    private static CallerReply.Refused notRun(String reason) {
        return new CallerReply.Refused(RefusalKind.NOT_RUN, Step.ADMIT, "self", reason, 1000);
    }

    private static CallerReply.Refused badRequest(String reason) {
        return new CallerReply.Refused(RefusalKind.BAD_REQUEST, Step.PARSE, "caller", reason, 0);
    }
}
