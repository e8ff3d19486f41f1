package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.DisruptorEventLoop;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.standin.InMemorySharedObjects;
import org.parsleydrift.standin.SharedObjectsServer;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkThreads;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Signals to an entry process at any moment of its start and end, beside a platform and a runner in this process. */
public class RoleProcessTest {
    private static final long SEED = 1;
    private static final int SIGNALLED_STARTS = 2;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    /** Grace time that a test would notice if a process waited for it. */
    private static final Duration LONG_GRACE = Duration.ofSeconds(60);

    private static final Duration SHORT_GRACE = Duration.ofSeconds(2);
    /** Time after which a connection that was made is accepted, and may be closed as idle. */
    private static final Duration SETTLING = Duration.ofMillis(500);
    /** Ports below those that the system assigns to outgoing connections, which could take one before the process does. */
    private static final int FIRST_PORT = 10_000;

    private static final int PORTS = 2_000;
    private static final Duration POLL = Duration.ofMillis(1);

    private static final String MANIFEST = """
            {"version": 1, "limits": {}, "services": [{"name": "desk"}], "routes": [
              {"name": "streams", "host": "127.0.0.1", "path_prefix": "/streams/", "type": "streaming",
               "service": "desk", "timeout_ms": 3000}]}
            """;

    private final RuntimeClock clock = new SystemClock();
    private final DisruptorEventLoop loop = new DisruptorEventLoop("role-process", clock);
    private final NetworkThreads threads = new NetworkThreads("role-process-net", 1);
    private final InMemorySharedObjects objects = new InMemorySharedObjects(loop, Duration.ofMillis(2));
    private final HttpServer platform =
            new HttpServer(threads, "127.0.0.1", 0, 512, new SharedObjectsServer(objects, loop));
    private final VersionedRunner runner = new VersionedRunner("r1", "v1", loop, new VersionedRunner.Listener() {
        @Override
        public void onEnding(VersionedRunner any, String path, RunnerEnd end) {
            throw new UnsupportedOperationException("no runner ends");
        }

        @Override
        public void onTurn(String request, String body) {
            throw new UnsupportedOperationException("no turn is stored");
        }
    });
    private Path folder;
    private Process process;
    private int callersPort;

    @BeforeClass
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "role-process")), "run")
                .toAbsolutePath();
        write(ObjectKind.MANIFEST, "main", MANIFEST);
        write(ObjectKind.RUNNERS, runner.id(), runner.entry());
    }

    private void write(ObjectKind kind, String name, String content) {
        loop.execute(() -> objects.write(kind, name, content.getBytes(ISO_8859_1)));
    }

    @AfterMethod(alwaysRun = true)
    public void endProcess() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        runner.close();
        platform.close();
        threads.close();
        loop.close();
    }

    private static int freePort() throws IOException {
        for (int port = FIRST_PORT; port < FIRST_PORT + PORTS; port++) {
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException taken) {
                // Tries the next port.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    private String settings(Duration grace, int directoryPort) throws IOException {
        callersPort = freePort();
        return """
                {"role": "entry", "outside": "platform", "vm": "entry1", "zone": "a", "link": "127.0.0.1:0",
                 "callers": "127.0.0.1:%d", "readiness": "127.0.0.1:0", "directory": "127.0.0.1:%d",
                 "metrics": "127.0.0.1:0", "platform": "127.0.0.1:%d", "first_start": true, "grace_s": %d}
                """.formatted(callersPort, directoryPort, platform.port(), grace.toSeconds());
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    private void start(Path settings) throws IOException {
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        // A process that inherits an ignored SIGHUP, as below nohup, would not reload its settings.
        process = new ProcessBuilder(
                        "env",
                        "--default-signal=HUP",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx110m",
                        "--sun-misc-unsafe-memory-access=allow",
                        "--enable-native-access=ALL-UNNAMED",
                        "-cp",
                        classPath,
                        "org.parsleydrift.roles.RoleMain",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(file("log").toFile())
                .start();
    }

    private void start(Duration grace) throws IOException {
        start(Files.writeString(file("settings.json"), settings(grace, 0)));
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    private void awaitEnd(Duration limit) throws IOException, InterruptedException {
        assertTrue(process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS), "the process has not ended; " + log());
    }

    private String log() throws IOException {
        return Files.readString(file("log"));
    }

    private void awaitLog(String text) throws IOException {
        long start = clock.nanos();
        while (!log().contains(text)) {
            assertTrue(process.isAlive() && clock.nanos() - start < TIMEOUT.toNanos(), "no '" + text + "' in " + log());
            LockSupport.parkNanos(POLL.toNanos());
        }
    }

    /** Connects as soon as the process listens for callers; empty if it ends before. */
    private Optional<Socket> connect() throws IOException {
        while (process.isAlive()) {
            try {
                return Optional.of(new Socket(InetAddress.getLoopbackAddress(), callersPort));
            } catch (ConnectException refused) {
                LockSupport.parkNanos(POLL.toNanos());
            }
        }
        return Optional.empty();
    }

    private static void send(Socket socket, String path) throws IOException {
        send(socket, path, Duration.ofSeconds(3));
    }

    private static void send(Socket socket, String path, Duration budget) throws IOException {
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        String request = """
                POST %s HTTP/1.1\r
                Host: 127.0.0.1\r
                X-Attempt-Id: a1\r
                X-Deadline-Ms: %d\r
                Content-Length: 2\r
                Connection: close\r
                \r
                go""".formatted(path, budget.toMillis());
        socket.getOutputStream().write(request.getBytes(ISO_8859_1));
    }

    /** Reads until the end of the connection; what came before a reset counts. */
    private static String receive(Socket socket) throws IOException {
        StringBuilder response = new StringBuilder();
        try (socket) {
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                response.append((char) next);
            }
        } catch (SocketException reset) {
            response.append("<reset>");
        }
        return response.toString();
    }

    private static boolean isWhole(String response) {
        int bodyStart = response.indexOf("\r\n\r\n") + 4;
        if (!response.startsWith("HTTP/1.1 ") || bodyStart < 4) {
            return false;
        }
        String head = response.substring(0, bodyStart).toLowerCase(Locale.ROOT);
        int length = head.indexOf("content-length: ");
        if (length < 0) {
            return response.endsWith("0\r\n\r\n");
        }
        int end = head.indexOf('\r', length);
        return response.length() - bodyStart
                == Integer.parseInt(head.substring(length + "content-length: ".length(), end));
    }

    /** Guards against requests that end with their process, as SIGTERM arrives before its handler is installed. */
    @Test
    public void requestOfTheFirstMomentIsAnswered() throws IOException, InterruptedException {
        List<String> responses = new ArrayList<>();
        for (int i = 0; i < SIGNALLED_STARTS; i++) {
            start(SHORT_GRACE);
            Socket socket = connect().orElseThrow(() -> new AssertionError("the process has ended"));
            send(socket, "/streams/x");
            process.destroy();
            responses.add(receive(socket));
            awaitEnd(TIMEOUT);
        }
        assertTrue(responses.stream().allMatch(RoleProcessTest::isWhole), responses + log());
    }

    /** Guards against requests that end with their process, as SIGTERM arrives during the start. */
    @Test
    public void requestsBeforeSignalDuringStartAreAnsweredOrRefused() throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(SEED);
        start(SHORT_GRACE);
        long startNanos = clock.nanos();
        connect().orElseThrow().close();
        long startingNanos = clock.nanos() - startNanos;
        endProcess();
        for (int i = 0; i < SIGNALLED_STARTS; i++) {
            start(SHORT_GRACE);
            CompletableFuture<Optional<String>> response = CompletableFuture.supplyAsync(this::connectAndCall);
            LockSupport.parkNanos(startingNanos / 2 + random.nextLong(startingNanos));
            process.destroy();
            awaitEnd(TIMEOUT);
            assertTrue(response.join().filter(each -> !isWhole(each)).isEmpty(), response.join() + log());
        }
    }

    private Optional<String> connectAndCall() {
        try {
            Optional<Socket> socket = connect();
            if (socket.isEmpty()) {
                return Optional.empty();
            }
            send(socket.get(), "/streams/x");
            return Optional.of(receive(socket.get()));
        } catch (IOException fault) {
            return Optional.of(fault.toString());
        }
    }

    /** Guards against a process that waits for a drain although it has not accepted any request. */
    @Test
    public void processThatReadsItsSettingsEndsAtOnce() throws IOException, InterruptedException {
        Path pipe = createPipe("ending.json");
        start(pipe);
        // The process reads from the pipe until its writer closes it.
        try (OutputStream writer = Files.newOutputStream(pipe)) {
            process.destroy();
            awaitEnd(TIMEOUT);
            writer.flush();
        }
        assertFalse(log().contains("drain_begun"), log());
    }

    /** Guards against a SIGHUP that ends a process before its role is built, or whose settings are lost. */
    @Test
    public void settingsChangedDuringTheStartAreRead() throws IOException, InterruptedException {
        Path pipe = createPipe("changed.json");
        String settings = settings(LONG_GRACE, 0);
        start(pipe);
        try (OutputStream reading = Files.newOutputStream(pipe)) {
            signal("HUP");
            Path changed = Files.writeString(file("changed-later.json"), settings);
            Files.move(changed, pipe, StandardCopyOption.REPLACE_EXISTING);
            reading.write(settings.getBytes(ISO_8859_1));
        }
        awaitLog("event=settings_reloaded");
        assertTrue(process.isAlive(), log());
    }

    private Path createPipe(String name) throws IOException, InterruptedException {
        Path pipe = file(name);
        assertEquals(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), 0);
        return pipe;
    }

    /** Guards against a start that fails with a wrong exit code, or waits for the drain of a role that never served. */
    @Test
    public void processWhoseAddressIsTakenEndsAtOnce() throws IOException, InterruptedException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start(Files.writeString(file("taken.json"), settings(LONG_GRACE, taken.getLocalPort())));
            awaitEnd(TIMEOUT);
        }
        assertEquals(process.exitValue(), 1, log());
        assertTrue(log().contains("Address already in use"), log());
    }

    /** Guards against a drain that a further signal, or a pause of the process, cuts short. */
    @Test
    public void streamOutlivesSignalsInSeries() throws IOException, InterruptedException {
        start(Duration.ofSeconds(3));
        awaitLog("event=manifest_in_force");
        Socket before = connect().orElseThrow();
        send(before, "/streams/x");
        awaitLog("event=request_placed");
        signal("STOP");
        signal("TERM");
        signal("CONT");
        awaitLog("event=drain_begun");
        signal("HUP");
        signal("TERM");
        Socket during = connect().orElseThrow();
        // Only a request that can be answered before the process ends is accepted.
        send(during, "/streams/y", Duration.ofMillis(1500));
        String first = receive(before);
        String second = receive(during);
        assertTrue(isWhole(first) && first.contains("id: " + VersionedRunner.EVENTS + "\n"), first + log());
        assertTrue(isWhole(second) && second.contains("id: " + VersionedRunner.EVENTS + "\n"), second + log());
        awaitEnd(TIMEOUT);
        assertTrue(log().contains("event=settings_reloaded"), log());
    }

    /** Guards against a process that is stopped in its drain and, as it goes on, ends before it reads what has arrived. */
    @Test
    public void requestDuringAStandstillUntilTheEndOfTheDrainIsAnswered() throws IOException, InterruptedException {
        start(SHORT_GRACE);
        awaitLog("event=role_started");
        Socket kept = connect().orElseThrow();
        LockSupport.parkNanos(SETTLING.toNanos());
        signal("TERM");
        awaitLog("event=drain_begun");
        signal("STOP");
        send(kept, "/streams/x");
        LockSupport.parkNanos(SHORT_GRACE.toNanos());
        signal("CONT");
        String response = receive(kept);
        assertTrue(response.startsWith("HTTP/1.1 503 ") && isWhole(response), response + log());
        awaitEnd(TIMEOUT);
    }

    /** Guards against a request lost in the drain, as its connection waits to be accepted by a process that stands still. */
    @Test
    public void requestOfAStandstillInTheDrainIsAnswered() throws IOException, InterruptedException {
        start(Duration.ofSeconds(5));
        awaitLog("event=manifest_in_force");
        signal("TERM");
        awaitLog("event=drain_begun");
        long startNanos = clock.nanos();
        // Stands still from before until after the time from which on a process without connections may end.
        sleepUntil(startNanos + Duration.ofSeconds(2).toNanos());
        signal("STOP");
        Socket socket = connect().orElseThrow();
        send(socket, "/streams/x", Duration.ofMillis(500));
        sleepUntil(startNanos + Duration.ofMillis(3500).toNanos());
        signal("CONT");
        String response = receive(socket);
        assertTrue(isWhole(response), response + log());
        awaitEnd(TIMEOUT);
    }

    private void sleepUntil(long nanos) {
        while (clock.nanos() - nanos < 0) {
            LockSupport.parkNanos(nanos - clock.nanos());
        }
    }
}
