package org.parsleydrift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;
import org.parsleydrift.wire.HttpExchange;

/** A stand-in engine over HTTP: turns as lines of JSON, each naming its stream (docs/design/standins.md). */
public final class EngineServer extends JsonServer {
    private static final String LINES = "application/x-ndjson";

    private final StandInEngine engine;
    private final String process;

    /**
     * Makes a server.
     *
     * @param engine the engine
     * @param loop the engine's loop
     */
    public EngineServer(StandInEngine engine, EventLoop loop) {
        super(loop);
        this.engine = engine;
        this.process = "e" + loop.clock().instant().toEpochMilli();
    }

    @Override
    void serve(HttpExchange exchange) throws JsonProcessingException {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/turns" -> turn(exchange);
            case "DELETE /v1/memory" -> {
                engine.release(exchange.queryParameter("owner", ""));
                exchange.respond(200, JSON, "{}", Map.of());
            }
            case "GET /v1/memory" ->
                exchange.respond(200, JSON, JsonDocument.MAPPER.writeValueAsString(engine.memory()), Map.of());
            case "POST /v1/faults" -> {
                engine.faults(JsonDocument.MAPPER.readValue(exchange.body(), EngineFaults.class));
                exchange.respond(200, JSON, "{}", Map.of());
            }
            default -> exchange.respond(404, JSON, "{}", Map.of());
        }
    }

    private void turn(HttpExchange exchange) throws JsonProcessingException {
        JsonNode body = JsonDocument.MAPPER.readTree(exchange.body());
        TurnRequest request = JsonDocument.MAPPER.treeToValue(body, TurnRequest.class);
        CompletableFuture<TurnResult> done = new CompletableFuture<>();
        boolean[] begun = {false};
        Runnable begin = () -> {
            if (!begun[0]) {
                begun[0] = true;
                exchange.beginStream(LINES);
            }
        };
        Cancellable stream = engine.turn(
                request,
                body.path("skip").asInt(0),
                text -> {
                    begin.run();
                    exchange.write(line(request, Map.of("text", text)));
                },
                done);
        exchange.onClose(() -> loop().execute(stream::cancel));
        done.whenComplete((result, failure) -> {
            if (failure == null) {
                begin.run();
                exchange.write(line(request, end(result)));
                exchange.endStream();
            } else if (StepException.unwrap(failure) instanceof CallException known && known.isLeaving()) {
                exchange.respond(503, JSON, "{\"leaving\":true}", Map.of());
            } else {
                exchange.abort();
            }
        });
    }

    private static Map<String, Object> end(TurnResult result) {
        Map<String, Object> end = new LinkedHashMap<>();
        end.put("done", true);
        end.put("actions", result.actions());
        end.put("prompt_tokens", result.promptTokens());
        end.put("cached_tokens", result.cachedTokens());
        end.put("output_tokens", result.outputTokens());
        end.put("length", result.text().length());
        return end;
    }

    private String line(TurnRequest request, Map<String, Object> fields) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("stream", request.streamId());
        all.put("engine", process);
        all.putAll(fields);
        try {
            return JsonDocument.MAPPER.writeValueAsString(all) + "\n";
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
