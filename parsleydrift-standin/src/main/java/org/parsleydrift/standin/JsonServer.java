package org.parsleydrift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpHandler;

/** A stand-in over HTTP with JSON bodies; its state belongs to a loop, and all requests are served there. */
abstract class JsonServer implements HttpHandler {
    /** Type of the bodies. */
    static final String JSON = "application/json";

    /** An empty body. */
    static final String NOTHING = "{}";

    private final EventLoop loop;

    JsonServer(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void handle(HttpExchange exchange) {
        loop.execute(() -> {
            try {
                serve(exchange);
            } catch (JsonProcessingException fault) {
                exchange.respond(400, JSON, NOTHING, Map.of());
            }
        });
    }

    /** The loop that owns the state. */
    final EventLoop loop() {
        return loop;
    }

    /** Serves a request on the loop; a body that is no JSON is answered 400. */
    abstract void serve(HttpExchange exchange) throws JsonProcessingException;
}
