package org.parsleydrift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.kernel.platform.VmEntry;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpHandler;

/** The stand-in platform over HTTP (docs/design/standins.md). */
public final class PlatformServer implements HttpHandler {
    private static final String BYTES = "application/octet-stream";
    private static final String JSON = "application/json";
    private static final String VERSION = "x-version";
    private static final byte[] NOTHING = {};

    private final InMemoryObjectStore store;

    /**
     * Makes a server.
     *
     * @param store the platform
     */
    public PlatformServer(InMemoryObjectStore store) {
        this.store = store;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "GET /v1/objects" -> answerObject(exchange, store.read(key(exchange)), 404);
                case "PUT /v1/objects" -> put(exchange);
                case "DELETE /v1/objects" -> answer(exchange, store.delete(key(exchange)), done -> "{}");
                case "GET /v1/list" ->
                    answer(
                            exchange,
                            store.list(exchange.queryParameter("prefix", "")),
                            rows -> json(rows.stream()
                                    .map(row -> Map.of("key", row.key(), "version", row.version()))
                                    .toList()));
                case "GET /v1/watch" ->
                    answerObject(
                            exchange,
                            store.watch(key(exchange), Long.parseLong(exchange.queryParameter("after", "0"))),
                            204);
                case "GET /v1/vms" -> answer(exchange, store.listVms(), PlatformServer::json);
                case "GET /v1/counts" -> exchange.respond(200, JSON, json(store.counts()), Map.of());
                case "POST /v1/vms" -> {
                    store.vms(JsonDocument.MAPPER.readValue(exchange.body(), new TypeReference<List<VmEntry>>() {}));
                    exchange.respond(200, JSON, "{}", Map.of());
                }
                case "POST /v1/faults" -> {
                    store.faults(JsonDocument.MAPPER.readValue(exchange.body(), PlatformFaults.class));
                    exchange.respond(200, JSON, "{}", Map.of());
                }
                default -> exchange.respond(404, JSON, "{}", Map.of());
            }
        } catch (JsonProcessingException | NumberFormatException fault) {
            exchange.respond(400, JSON, json(Map.of("error", String.valueOf(fault.getMessage()))), Map.of());
        }
    }

    private void put(HttpExchange exchange) {
        long version = Long.parseLong(exchange.queryParameter("version", "0"));
        CompletableFuture<Long> written = version == 0
                ? store.create(key(exchange), exchange.bodyBytes())
                : store.update(key(exchange), version, exchange.bodyBytes());
        answer(exchange, written, made -> json(Map.of("version", made)));
    }

    private static String key(HttpExchange exchange) {
        return exchange.queryParameter("key", "");
    }

    private static void answerObject(
            HttpExchange exchange, CompletableFuture<Optional<StoredObject>> answer, int statusIfNone) {
        answer.whenComplete((found, failure) -> {
            if (failure != null) {
                refuse(exchange, failure);
            } else if (found.isEmpty()) {
                exchange.respond(statusIfNone, BYTES, NOTHING, Map.of());
            } else {
                exchange.respond(
                        200,
                        BYTES,
                        found.get().value(),
                        Map.of(VERSION, Long.toString(found.get().version())));
            }
        });
    }

    private static <T> void answer(
            HttpExchange exchange, CompletableFuture<T> answer, java.util.function.Function<T, String> body) {
        answer.whenComplete((value, failure) -> {
            if (failure != null) {
                refuse(exchange, failure);
            } else {
                exchange.respond(200, JSON, body.apply(value), Map.of());
            }
        });
    }

    private static void refuse(HttpExchange exchange, Throwable failure) {
        int status = switch (StoreException.of(failure)) {
            case CONFLICT -> 409;
            case REFUSED -> 429;
            case ABSENT -> 404;
            case UNKNOWN, TOO_LARGE -> 500;
        };
        exchange.respond(status, JSON, "{}", Map.of());
    }

    private static String json(Object value) {
        try {
            return JsonDocument.MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
