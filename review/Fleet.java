import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the platform's store and one model runner as stand-ins in this process, and entry and
 * store processes started with the commands of the deploy file.
 */
final class Fleet implements AutoCloseable {
    static final int TOKENS_PER_EVENT = 12;
    static final int EVENTS_PER_TURN = 6;
    static final int MAX_TURN_TOKENS = TOKENS_PER_EVENT * EVENTS_PER_TURN;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 30_000;
    private static final String HOST = "case.example";
    private static final String PATH_PREFIX = "/turns/";

    final Path directory = Files.createTempDirectory("review");
    final Map<String, Member> members = new LinkedHashMap<>();
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final Map<String, Integer> receivedBytes = new ConcurrentHashMap<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final PlatformStore platform;
    private final HttpServer runner;
    private final AtomicInteger attempts = new AtomicInteger();

    /** One entry or store process. */
    static final class Member {
        final String name;
        final boolean entry;
        final String callers;
        final Path data;
        private final String settings;
        private Process process;

        Member(String name, boolean entry, String callers, Path data, String settings) {
            this.name = name;
            this.entry = entry;
            this.callers = callers;
            this.data = data;
            this.settings = settings;
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }
    }

    /** What a caller has received; status 0 if the connection ended or timed out before the response head. */
    record Answer(int status, String body, boolean complete, int events) {
        boolean whole() {
            return status == 200 && complete;
        }

        int tokens() {
            return status == 200 ? events * TOKENS_PER_EVENT : 0;
        }
    }

    Fleet(Path recordFile, int entries, double retentionSeconds) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        platform = new PlatformStore();
        runner = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        runner.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        runner.createContext("/", this::runTurn);
        runner.start();
        platform.put("servers", "i-1", """
                {"service":"model","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":64,"state":"ready",\
                "cold_left_ms":0,"seq":1}""".formatted(runner.getAddress().getPort()));
        platform.put("config", "main", """
                {"version":1,"routes":[{"name":"turns","host":"%s","path_prefix":"%s","type":"streaming",\
                "timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"model","max_attempts":1,\
                "stateful":true,"retention_s":%s,"sticky":true,"resumable":false,"gap_target_ms":150}],\
                "services":[{"name":"model","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,\
                "engine":{"slots":64,"kv_capacity":118074,"chunk_tokens":%d,"models":[{"name":"m"}]}}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}""".formatted(HOST, PATH_PREFIX, retentionSeconds, TOKENS_PER_EVENT));
        for (int i = 1; i <= 3; i++) {
            addStore("store" + i, "abc".substring(i - 1, i), true);
        }
        for (int i = 1; i <= entries; i++) {
            addEntry("entry" + i, "abc".substring((i - 1) % 3, (i - 1) % 3 + 1));
        }
    }

    /** The steps of one case; returns whether the rule was broken, or empty if the case could not run. */
    interface Steps {
        Optional<Boolean> run(Fleet fleet) throws Exception;
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void exitAfter(String recordFile, int entries, double retentionSeconds, Steps steps) {
        int code = 2;
        try (Fleet fleet = new Fleet(Path.of(recordFile), entries, retentionSeconds)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::endProcesses));
            fleet.note(TROUBLE ? "with the disruption" : "without the disruption");
            fleet.startAll();
            code = steps.run(fleet).map(broken -> broken ? 1 : 0).orElse(2);
            fleet.note("exit code " + code);
        } catch (Throwable failure) {
            code = 2;
            failure.printStackTrace();
        }
        System.exit(code);
    }

    PlatformStore platform() {
        return platform;
    }

    void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, text);
        synchronized (record) {
            record.println(line);
        }
        System.out.println(line);
    }

    /** Writes a line to the record only. */
    void trace(String text) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        }
    }

    /** Returns an address with a free port below the range from which the kernel takes ports of outgoing connections. */
    private static String freeAddress() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
        throw new IOException("no free port found");
    }

    private String settings(String role, String name, String zone, String extra) throws IOException {
        return """
                {"role":"%s","outside":"platform","vm":"%s","zone":"%s","link":"%s","metrics":"%s","platform":"%s",%s,
                "grace_s":8}
                """.formatted(role, name, zone, freeAddress(), freeAddress(), platform.address(), extra);
    }

    Member addStore(String name, String zone, boolean firstStart) throws IOException {
        Path data = directory.resolve(name + "-data");
        Files.createDirectories(data);
        String extra = "\"data_folder\":\"%s\",\"tolerated_losses\":1,\"first_start\":%s".formatted(data, firstStart);
        Member member = new Member(name, false, "", data, settings("store", name, zone, extra));
        members.put(name, member);
        return member;
    }

    private void addEntry(String name, String zone) throws IOException {
        String callers = freeAddress();
        String extra = """
                "callers":"%s","readiness":"%s","directory":"%s","first_start":true,
                "contention":{"reserved_share":0,"admit_share":0.95,"floor_share":0.1,"wait_share":0.6,
                "max_retry_after_s":1.0,"learn_speeds":false}""".formatted(callers, freeAddress(), freeAddress());
        members.put(name, new Member(name, true, callers, null, settings("entry", name, zone, extra)));
    }

    List<Member> stores() {
        return members.values().stream().filter(each -> !each.entry).toList();
    }

    List<Member> entries() {
        return members.values().stream().filter(each -> each.entry).toList();
    }

    /** Starts a process with the command of the deploy file; a later start is no first start. */
    void start(Member member, boolean first) throws IOException {
        Path file = directory.resolve(member.name + ".json");
        Files.writeString(file, first ? member.settings : member.settings.replace("\"first_start\":true", "\"first_start\":false"));
        String role = member.entry ? "entry" : "store";
        List<String> command = new ArrayList<>(List.of(Files.readString(Path.of("deploy/system.toml"))
                .split("\\[roles\\." + role + "\\]")[1].split("run = \"")[1].split("\"")[0].split(" ")));
        command.set(command.size() - 1, file.toString());
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(member.name + ".log").toFile()));
        member.process = builder.start();
        note("started " + member.name);
    }

    void startAll() throws Exception {
        for (Member each : members.values()) {
            start(each, true);
        }
        boolean isFormed = false;
        for (int i = 0; i < 200 && !isFormed; i++) {
            Thread.sleep(100);
            isFormed = stores().stream().allMatch(each -> platform.get("parsleydrift-stores", "set")
                    .filter(set -> set.split("\"previous\"")[0].contains("\"" + each.name + "\""))
                    .isPresent());
        }
        if (!isFormed) {
            throw new IOException("the stores have not formed a set within 20 s");
        }
        Thread.sleep(3000);
    }

    void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            java.util.concurrent.locks.LockSupport.parkNanos(left);
        }
    }

    /** Starts stores again that have ended by themselves, for some time; returns how often that happened. */
    int superviseStores(long millis) throws Exception {
        int exits = 0;
        long deadline = System.nanoTime() + millis * 1_000_000;
        do {
            for (Member each : stores()) {
                if (!each.isAlive()) {
                    exits++;
                    note(each.name + " has ended by itself, exit code " + each.process.exitValue());
                    start(each, false);
                }
            }
            Thread.sleep(500);
        } while (System.nanoTime() < deadline);
        return exits;
    }

    void kill(Member member) throws Exception {
        member.process.destroyForcibly().waitFor();
        note("killed " + member.name);
    }

    void signal(Member member, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(member.pid())).start().waitFor();
        note("sent SIG" + signal + " to " + member.name);
    }

    void awaitEnd(Member member) throws InterruptedException {
        member.process.waitFor();
        note(member.name + " has ended");
    }

    void wipe(Member member) throws IOException {
        deleteTree(member.data);
        Files.createDirectories(member.data);
        note("the disk of " + member.name + " is empty");
    }

    private static void deleteTree(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    String log(Member member) throws IOException {
        return Files.readString(directory.resolve(member.name + ".log"));
    }

    String newAttempt() {
        return String.format("%08x%08x", (int) (System.nanoTime() >> 8), attempts.incrementAndGet());
    }

    /** Sends one turn of a program and waits for the end of its response. */
    Answer turn(Member entry, String program, String attempt, String previous, int budget, byte[] input) {
        StringBuilder head = new StringBuilder();
        head.append("POST ").append(PATH_PREFIX).append("1 HTTP/1.1\r\nHost: ").append(HOST)
                .append("\r\nConnection: close")
                .append("\r\nX-Attempt-Id: ").append(attempt)
                .append("\r\nX-Program-Id: ").append(program)
                .append("\r\nX-Session-Id: ").append(program)
                .append("\r\nX-Program-Deadline-Ms: 120000")
                .append("\r\nX-Token-Budget: ").append(budget)
                .append("\r\nX-Token-Count: ").append(input.length / 2).append(',').append(MAX_TURN_TOKENS)
                .append("\r\nX-Model: m\r\nX-Deadline-Ms: 3000")
                .append("\r\nContent-Length: ").append(input.length);
        if (!previous.isEmpty()) {
            head.append("\r\nX-Previous-Turn: ").append(previous);
        }
        head.append("\r\n\r\n");
        Answer answer;
        int colon = entry.callers.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.callers.substring(0, colon),
                    Integer.parseInt(entry.callers.substring(colon + 1))), 1000);
            socket.setSoTimeout(4000);
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(input);
            out.flush();
            answer = readAnswer(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failure) {
            answer = new Answer(0, String.valueOf(failure.getMessage()), false, 0);
        }
        trace("turn " + attempt + " of " + program + " previous " + (previous.isEmpty() ? "-" : previous) + " at "
                + entry.name + ": status " + answer.status() + (answer.complete() ? " whole" : " broken off") + ", "
                + answer.events() + " events");
        return answer;
    }

    private static Answer readAnswer(InputStream in) throws IOException {
        String statusLine = line(in);
        if (statusLine == null) {
            return new Answer(0, "closed", false, 0);
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        boolean chunked = false;
        int length = 0;
        for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
            String lower = each.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            if (!chunked) {
                body.writeBytes(in.readNBytes(length));
                complete = body.size() == length;
            } else {
                for (String size = line(in); size != null; size = line(in)) {
                    int bytes = Integer.parseInt(size.trim(), 16);
                    body.writeBytes(in.readNBytes(bytes));
                    line(in);
                    if (bytes == 0) {
                        complete = true;
                        break;
                    }
                }
            }
        } catch (IOException brokenOff) {
            complete = false;
        }
        String text = body.toString(StandardCharsets.UTF_8);
        int events = (int) text.lines().filter(each -> each.startsWith("id:")).count();
        return new Answer(status, text, complete, events);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                return line.isEmpty() ? null : line.toString();
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** The model runner: answers each turn with a whole stream. */
    private void runTurn(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (exchange.getRequestURI().getPath().equals("/healthz")) {
            exchange.getResponseHeaders().set("X-Instance-Id", "i-1");
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
            return;
        }
        String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        runs.merge(attempt, 1, Integer::sum);
        receivedBytes.put(attempt, body.length);
        trace("runner runs " + attempt + ", body of " + body.length + " bytes");
        exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
        exchange.getResponseHeaders().set("X-Server-Stamp", "stamp." + attempt);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 1; i <= EVENTS_PER_TURN; i++) {
                out.write(("id: " + i + "\ndata: " + attempt + "-" + i + "\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private void endProcesses() {
        members.values().stream().filter(Member::isAlive).forEach(each -> each.process.destroyForcibly());
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Member each : members.values()) {
            try {
                if (each.process != null) {
                    each.process.waitFor();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        runner.stop(0);
        platform.close();
        if (System.getenv("KEEP") == null) {
            deleteTree(directory);
        } else {
            System.out.println("kept " + directory);
        }
        record.close();
    }
}
