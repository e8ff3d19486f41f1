import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store: lists, watches and conditional writes of objects by kind and name; loses nothing. */
final class PlatformStore implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");

    private final HttpServer server;
    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private volatile boolean isDown;

    private record Stored(String name, long revision, String spec, String status) {
        String json() {
            return "{\"metadata\":{\"name\":\"%s\",\"revision\":%d,\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":%s}"
                    .formatted(name, revision, spec, status);
        }
    }

    private record Event(String kind, long revision, boolean deleted, Stored object) {}

    PlatformStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/objects/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** While the store is down, it answers each call with 503. */
    void setDown(boolean down) {
        isDown = down;
    }

    synchronized void put(String kind, String name, String spec) {
        store(kind, new Stored(name, ++revision, spec, "null"));
    }

    synchronized void remove(String kind, String name) {
        Stored removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (removed != null) {
            history.add(new Event(kind, ++revision, true, new Stored(name, revision, removed.spec(), removed.status())));
            notifyAll();
        }
    }

    synchronized Optional<String> get(String kind, String name) {
        return Optional.ofNullable(kinds.getOrDefault(kind, new TreeMap<>()).get(name)).map(Stored::spec);
    }

    synchronized Optional<String> status(String kind, String name) {
        return Optional.ofNullable(kinds.getOrDefault(kind, new TreeMap<>()).get(name)).map(Stored::status);
    }

    private void store(String kind, Stored object) {
        kinds.computeIfAbsent(kind, any -> new TreeMap<>()).put(object.name(), object);
        history.add(new Event(kind, object.revision(), false, object));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] path = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        int[] status = {200};
        String answer;
        if (isDown) {
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        try {
            answer = switch (exchange.getRequestMethod()) {
                case "GET" -> query.containsKey("watch_rev")
                        ? watch(path[0], Long.parseLong(query.get("watch_rev")),
                                Long.parseLong(query.getOrDefault("wait_ms", "0")))
                        : path.length > 1 ? read(path[0], path[1], status) : list(path[0], query.getOrDefault("after", ""));
                case "POST" -> create(path[0], body, status);
                case "PUT" -> path.length > 2 ? replaceStatus(path[0], path[1], body, status)
                        : replace(path[0], path[1], body, status);
                default -> {
                    remove(path[0], path[1]);
                    yield "{}";
                }
            };
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            status[0] = 503;
            answer = "{}";
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status[0], bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String each : raw == null ? new String[0] : raw.split("&")) {
            int equals = each.indexOf('=');
            if (equals > 0) {
                query.put(each.substring(0, equals),
                        URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String list(String kind, String after) {
        List<String> items = kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values().stream()
                .map(Stored::json).toList();
        return "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"as_of\":" + revision + "}";
    }

    private synchronized String read(String kind, String name, int[] status) {
        Stored found = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        status[0] = found == null ? 404 : 200;
        return found == null ? "{}" : found.json();
    }

    private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
        long deadline = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = history.stream()
                    .filter(each -> each.kind().equals(kind) && each.revision() > after)
                    .map(each -> "{\"deleted\":" + each.deleted() + ",\"object\":" + each.object().json() + "}")
                    .toList();
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
            }
            wait(left);
        }
    }

    private synchronized String create(String kind, String body, int[] status) {
        String name = name(body);
        Stored known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (known != null) {
            status[0] = 409;
            return known.json();
        }
        Stored created = new Stored(name, ++revision, spec(body), "null");
        store(kind, created);
        status[0] = 201;
        return created.json();
    }

    private synchronized String replace(String kind, String name, String body, int[] status) {
        Stored known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (known == null) {
            status[0] = 404;
            return "{}";
        }
        if (conflicts(known, body)) {
            status[0] = 409;
            return known.json();
        }
        String spec = spec(body);
        if (spec.equals(known.spec())) {
            return known.json();
        }
        Stored next = new Stored(name, ++revision, spec, known.status());
        store(kind, next);
        return next.json();
    }

    private synchronized String replaceStatus(String kind, String name, String body, int[] status) {
        Stored known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (known == null) {
            status[0] = 404;
            return "{}";
        }
        Stored next = new Stored(name, ++revision, known.spec(), value(body, "\"status\""));
        store(kind, next);
        return next.json();
    }

    private static boolean conflicts(Stored known, String body) {
        int spec = body.indexOf("\"spec\"");
        Matcher revision = REVISION.matcher(spec < 0 ? body : body.substring(0, spec));
        return revision.find() && Long.parseLong(revision.group(1)) != known.revision();
    }

    private static String name(String body) {
        Matcher name = NAME.matcher(body);
        return name.find() ? name.group(1) : "";
    }

    private static String spec(String body) {
        return value(body, "\"spec\"");
    }

    /** Returns the JSON value of a field, which the callers write last. */
    private static String value(String body, String field) {
        String rest = body.substring(body.indexOf(field) + field.length());
        return rest.substring(rest.indexOf(':') + 1, rest.lastIndexOf('}')).trim();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
