package org.parsleydrift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.wire.HttpExchange;

/** The users' platform over HTTP, as far as the product calls it: objects with revisions, conditions and watches. */
public final class SharedObjectsServer extends JsonServer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ROOT = "/objects/";
    private static final Map<String, ObjectKind> KINDS = Map.of(
            "config", ObjectKind.MANIFEST,
            "servers", ObjectKind.RUNNERS,
            "parsleydrift-nodes", ObjectKind.NODES,
            "parsleydrift-stores", ObjectKind.STORE_SET,
            "retirements", ObjectKind.RETIREMENTS);

    private final InMemorySharedObjects objects;

    /**
     * Makes a server.
     *
     * @param objects the objects
     * @param loop the loop that owns them
     */
    public SharedObjectsServer(InMemorySharedObjects objects, EventLoop loop) {
        super(loop);
        this.objects = objects;
    }

    @Override
    void serve(HttpExchange exchange) throws JsonProcessingException {
        List<String> parts = Arrays.stream(exchange.path().split("/", -1))
                .filter(each -> !each.isEmpty())
                .toList();
        ObjectKind kind = exchange.path().startsWith(ROOT) && parts.size() >= 2 ? KINDS.get(parts.get(1)) : null;
        if (kind == null) {
            exchange.respond(404, JSON, NOTHING, Map.of());
            return;
        }
        serve(exchange, kind, parts.size() > 2 ? Optional.of(parts.get(2)) : Optional.empty());
    }

    private void serve(HttpExchange exchange, ObjectKind kind, Optional<String> name) throws JsonProcessingException {
        switch (exchange.method()) {
            case "GET" -> read(exchange, kind);
            case "POST" -> write(exchange, kind, OptionalLong.empty());
            case "PUT" -> {
                JsonNode revision = MAPPER.readTree(exchange.body()).at("/metadata/revision");
                if (revision.isMissingNode()) {
                    objects.write(kind, name.orElseThrow(), spec(exchange));
                    exchange.respond(200, JSON, NOTHING, Map.of());
                } else {
                    write(exchange, kind, OptionalLong.of(revision.asLong()));
                }
            }
            case "DELETE" -> answer(exchange, objects.remove(kind, name.orElseThrow()), done -> NOTHING);
            default -> exchange.respond(405, JSON, NOTHING, Map.of());
        }
    }

    private void read(HttpExchange exchange, ObjectKind kind) {
        String after = exchange.queryParameter("watch_rev", "");
        if (after.isEmpty()) {
            answer(exchange, objects.list(kind), SharedObjectsServer::list);
            return;
        }
        Duration wait = Duration.ofMillis(Long.parseLong(exchange.queryParameter("wait_ms", "0")));
        objects.watch(kind, Long.parseLong(after), wait).whenComplete((changes, failure) -> {
            if (failure != null) {
                exchange.respond(410, JSON, NOTHING, Map.of());
            } else {
                exchange.respond(200, JSON, events(changes), Map.of());
            }
        });
    }

    private void write(HttpExchange exchange, ObjectKind kind, OptionalLong revision) throws JsonProcessingException {
        String name = MAPPER.readTree(exchange.body()).at("/metadata/name").asText();
        answer(
                exchange,
                objects.put(kind, name, revision, spec(exchange)),
                written -> node(written).toString());
    }

    private static byte[] spec(HttpExchange exchange) throws JsonProcessingException {
        return MAPPER.readTree(exchange.body()).path("spec").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String list(ObjectChanges found) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode items = root.putArray("items");
        found.objects().forEach(each -> items.add(node(each)));
        return root.put("has_more", false).put("as_of", found.asOf()).toString();
    }

    private static String events(ObjectChanges changes) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode events = root.putArray("events");
        changes.objects()
                .forEach(each ->
                        events.addObject().put("deleted", each.deleted()).set("object", node(each)));
        return root.put("as_of", changes.asOf()).toString();
    }

    private static ObjectNode node(SharedObject object) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("metadata").put("name", object.name()).put("revision", object.revision());
        if (!object.deleted()) {
            try {
                root.set("spec", MAPPER.readTree(new String(object.content(), StandardCharsets.UTF_8)));
            } catch (JsonProcessingException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
        return root;
    }

    private static <T> void answer(
            HttpExchange exchange, CompletableFuture<T> answer, java.util.function.Function<T, String> body) {
        answer.whenComplete((value, failure) -> {
            if (failure == null) {
                exchange.respond(200, JSON, body.apply(value), Map.of());
                return;
            }
            int status = switch (StoreException.of(failure)) {
                case CONFLICT -> 409;
                case REFUSED -> 503;
                case ABSENT -> 404;
                case UNKNOWN, TOO_LARGE -> 500;
            };
            exchange.respond(status, JSON, NOTHING, Map.of());
        });
    }
}
