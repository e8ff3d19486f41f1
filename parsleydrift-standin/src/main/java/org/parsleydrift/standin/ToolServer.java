package org.parsleydrift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.wire.HttpExchange;

/** A stand-in tool or plain service over HTTP (docs/design/standins.md). */
public final class ToolServer extends JsonServer {

    private final StandInTool tool;

    /**
     * Makes a server.
     *
     * @param tool the tool
     * @param loop the tool's loop
     */
    public ToolServer(StandInTool tool, EventLoop loop) {
        super(loop);
        this.tool = tool;
    }

    @Override
    void serve(HttpExchange exchange) throws JsonProcessingException {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/calls" ->
                tool.call(JsonDocument.MAPPER.readValue(exchange.body(), CallRequest.class))
                        .whenComplete((answer, failure) -> {
                            if (failure == null) {
                                exchange.respond(200, JSON, answer, Map.of());
                            } else {
                                exchange.respond(503, JSON, "{\"leaving\":true}", Map.of());
                            }
                        });
            case "GET /v1/effects" ->
                exchange.respond(200, JSON, JsonDocument.MAPPER.writeValueAsString(tool.effects()), Map.of());
            case "POST /v1/faults" -> {
                tool.faults(JsonDocument.MAPPER.readValue(exchange.body(), ToolFaults.class));
                exchange.respond(200, JSON, "{}", Map.of());
            }
            default -> exchange.respond(404, JSON, "{}", Map.of());
        }
    }
}
