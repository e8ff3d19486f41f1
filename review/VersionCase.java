import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;

/**
 * A runner breaks off its streams and starts again under its old id with another software version, while the platform's
 * store is down, so that its entry still names the old version. Callers take their streams up again. No stream may go on
 * at the other version.
 */
final class VersionCase {
    private static final int STREAMS = 12;
    private static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 200;
    private static final long STORE_DOWN_MILLIS = 4500;
    private static final int BUDGET = 100_000;

    private final Fleet fleet;
    private final List<String> joined = new ArrayList<>();

    private VersionCase(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        Fleet.exitAfter(arguments[0], 2, 60, fleet -> new VersionCase(fleet).run());
    }

    /** A model runner whose events name its software version. */
    private final class Runner {
        private final String id;
        private int port;
        private String version;
        private long bornMillis;
        private HttpServer server;

        Runner(String id, String version) throws IOException {
            this.id = id;
            this.version = version;
            start();
            register();
        }

        void start() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
            port = server.getAddress().getPort();
            server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
            server.createContext("/", this::handle);
            server.start();
            bornMillis = System.currentTimeMillis();
        }

        void register() {
            fleet.platform().put("servers", id, """
                    {"service":"model","address":"127.0.0.1:%d","zone":"a","version":"%s","slots":64,"state":"ready",\
                    "cold_left_ms":0,"seq":1,"born":%d}""".formatted(port, version, bornMillis));
        }

        private void handle(HttpExchange exchange) throws IOException {
            exchange.getRequestBody().readAllBytes();
            if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
                exchange.getResponseHeaders().set("X-Instance-Id", id);
                exchange.sendResponseHeaders(421, -1);
                exchange.close();
                return;
            }
            String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
            String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
            String own = version;
            fleet.trace("runner " + id + " version " + own + " runs " + attempt + ", goes on after " + last);
            exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
            exchange.getResponseHeaders().set("X-Server-Stamp", "stamp." + id);
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, 0);
            try (OutputStream out = exchange.getResponseBody()) {
                for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
                    out.write(("id: " + i + "\ndata: " + own + "\n\n").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    Thread.sleep(EVENT_MILLIS);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private Optional<Boolean> run() throws Exception {
        fleet.platform().remove("servers", "i-1");
        Runner first = new Runner("i-2", "v1");
        new Runner("i-3", "v1");
        fleet.platform().put("config", "main", """
                {"version":2,"routes":[{"name":"streams","host":"case.example","path_prefix":"/turns/","type":"streaming",\
                "timeout_ms":9000,"target_latency_ms":250,"priority":0,"service":"model","max_attempts":2,\
                "stateful":false,"retention_s":60.0,"sticky":true,"resumable":true,"gap_target_ms":250}],\
                "services":[{"name":"model","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,\
                "engine":{"slots":64,"kv_capacity":118074,"chunk_tokens":12,"models":[{"name":"m"}]}}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}""");
        Thread.sleep(3000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            callers.add(Thread.ofPlatform().start(() -> call(number)));
            Thread.sleep(20);
        }
        Thread.sleep(500);
        if (Fleet.TROUBLE) {
            fleet.platform().setDown(true);
            fleet.note("the platform's store is down");
            first.server.stop(0);
            first.version = "v2";
            Thread.sleep(100);
            first.start();
            fleet.note("runner i-2 has broken off its streams and is back as version v2");
            Thread.sleep(STORE_DOWN_MILLIS);
            fleet.platform().setDown(false);
            first.register();
            fleet.note("the platform's store is back; runner i-2 has written its entry");
        }
        for (Thread each : callers) {
            each.join();
        }
        fleet.note(joined.size() + " of " + STREAMS + " streams hold events of two versions" + (joined.size() > 2 ? ": ORDER is broken" : ""));
        return Optional.of(joined.size() > 2);
    }

    private void call(int number) {
        List<String> versions = new ArrayList<>();
        String origin = "";
        int last = 0;
        for (int attempt = 0; attempt < 8 && last < EVENTS; attempt++) {
            String id = fleet.newAttempt();
            int before = last;
            last = attempt(number, id, origin, last, versions);
            if (origin.isEmpty() && last > before) {
                origin = id;
            }
            try {
                Thread.sleep(250);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        fleet.note("stream " + number + ": " + versions);
        if (versions.stream().distinct().count() > 1) {
            synchronized (joined) {
                joined.add(origin);
            }
        }
    }

    private int attempt(int number, String id, String origin, int last, List<String> versions) {
        Fleet.Member entry = fleet.entries().get(number % 2);
        int colon = entry.callers.lastIndexOf(':');
        int reached = last;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", Integer.parseInt(entry.callers.substring(colon + 1))), 1000);
            socket.setSoTimeout(4000);
            socket.getOutputStream().write(("POST /turns/1 HTTP/1.1\r\nHost: case.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                    + "\r\nX-Program-Id: program" + number + "\r\nX-Token-Budget: " + BUDGET + "\r\nX-Token-Count: 10,96"
                    + "\r\nX-Deadline-Ms: 8000\r\n"
                    + (last == 0 ? "" : "Last-Event-Id: " + last + "\r\nResumes: " + origin + "\r\n")
                    + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String line = in.readLine();
            fleet.trace("stream " + number + " attempt " + id + " after " + last + ": " + line);
            for (; line != null; line = in.readLine()) {
                if (line.startsWith("id: ")) {
                    reached = Integer.parseInt(line.substring(4));
                } else if (line.startsWith("data: ")) {
                    versions.add(line.substring(6));
                }
            }
        } catch (IOException broken) {
            fleet.trace("stream " + number + " attempt " + id + " broke off: " + broken.getMessage());
        }
        return reached;
    }
}
