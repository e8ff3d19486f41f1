package org.parsleydrift.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.SystemClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Signals to a daemon process whose platform does not answer, so that requests wait for an owner. */
public class DaemonProcessTest {
    private static final int SIGNALLED_STARTS = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL = Duration.ofMillis(1);
    /** Ports below those that the system assigns to outgoing connections, which could take one before the process does. */
    private static final int FIRST_PORT = 8_500;

    private static final int PORTS = 1_400;

    private final RuntimeClock clock = new SystemClock();
    private Path folder;
    private Process process;
    private int port;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "daemon-process")), "run")
                .toAbsolutePath();
    }

    @AfterMethod(alwaysRun = true)
    public void endProcess() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Returns a free port; test runs beside this one begin their search at other ports. */
    private static int freePort() throws IOException {
        int first = (int) (ProcessHandle.current().pid() * 10 % PORTS);
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + (first + i) % PORTS;
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException taken) {
                // Tries the next port.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    private void start(Duration drainTimeout) throws IOException {
        port = freePort();
        Path settings =
                Files.writeString(folder.resolve("settings.json"), """
                {"vm": "vm1", "zone": "a", "http": "127.0.0.1:%d", "link": "127.0.0.1:0", "platform": "127.0.0.1:1",
                 "timings": {"drain_limit_ms": %d}}
                """.formatted(port, drainTimeout.toMillis()));
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx110m",
                        "-Djava.util.logging.manager=" + LastingLogManager.class.getName(),
                        "--sun-misc-unsafe-memory-access=allow",
                        "--enable-native-access=ALL-UNNAMED",
                        "-cp",
                        classPath,
                        ParsleydriftDaemon.class.getName(),
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private void awaitLog(String text) throws IOException {
        long start = clock.nanos();
        while (!log().contains(text)) {
            assertTrue(process.isAlive() && clock.nanos() - start < TIMEOUT.toNanos(), "no '" + text + "' in " + log());
            LockSupport.parkNanos(POLL.toNanos());
        }
    }

    private void awaitEnd() throws IOException, InterruptedException {
        assertTrue(process.waitFor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), "the process has not ended; " + log());
    }

    /** Connects as soon as the process listens for callers. */
    private Socket connect() throws IOException {
        while (process.isAlive()) {
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout((int) TIMEOUT.toMillis());
                return socket;
            } catch (ConnectException refused) {
                LockSupport.parkNanos(POLL.toNanos());
            }
        }
        throw new AssertionError("the process has ended; " + log());
    }

    private static void send(Socket socket, String method, String target, String body) throws IOException {
        String request = "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(method, target, body.length(), body);
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
        int length = head.indexOf("content-length: ") + "content-length: ".length();
        return response.length() - bodyStart == Integer.parseInt(head.substring(length, head.indexOf('\r', length)));
    }

    /** Guards against a process that ends without a drain, as SIGTERM arrives before its handler is installed. */
    @Test
    public void signalOfTheFirstMomentDrains() throws IOException, InterruptedException {
        for (int i = 0; i < SIGNALLED_STARTS; i++) {
            start(Duration.ofSeconds(1));
            try (Socket socket = connect()) {
                send(socket, "GET", "/health", "");
                process.destroy();
                awaitEnd();
            }
            assertTrue(log().contains("event=drain_begin"), log());
        }
    }

    /** Guards against a response that is not sent, as the process ends before. */
    @Test
    public void requestJustBeforeTheExitIsAnswered() throws IOException, InterruptedException {
        List<String> responses = new ArrayList<>();
        for (int i = 0; i < SIGNALLED_STARTS; i++) {
            start(Duration.ofSeconds(1));
            Socket socket = connect();
            send(socket, "GET", "/health", "");
            process.destroy();
            responses.add(receive(socket));
            awaitEnd();
        }
        assertTrue(responses.stream().allMatch(DaemonProcessTest::isWhole), responses + log());
    }

    /** Requests that wait for an owner, and the status that the end of the drain permits. */
    @DataProvider
    public static Object[][] waitingRequests() {
        String start = "{\"ticket\":\"n1~1\",\"team\":\"t\",\"key\":\"k\",\"agent\":\"a\",\"prompt\":\"p\"%s}";
        return new Object[][] {
            {"POST", "/v1/programs", start.formatted(",\"first\":true"), 503},
            {"POST", "/v1/programs", start.formatted(""), 504},
            {"GET", "/v1/programs/n1~1~t~k/answer", "", 503},
            {"DELETE", "/v1/programs/n1~1~t~k", "", 504},
        };
    }

    /** Guards against callers that wait for an owner until the process ends, and get no response. */
    @Test(dataProvider = "waitingRequests")
    public void waitingCallerIsAnsweredBeforeTheExit(String method, String target, String body, int status)
            throws IOException, InterruptedException {
        start(Duration.ofMillis(300));
        Socket waiting = connect();
        send(waiting, method, target, body);
        try (Socket incomplete = connect()) {
            incomplete
                    .getOutputStream()
                    .write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{".getBytes(ISO_8859_1));
            awaitRead();
            process.destroy();
            assertRefused(receive(waiting), status);
            assertRefused(receive(incomplete), 503);
        }
        awaitEnd();
    }

    /** Waits until what was sent before is read: a later request is answered on each of the two network threads. */
    private void awaitRead() throws IOException {
        for (int i = 0; i < 2; i++) {
            try (Socket later = connect()) {
                send(later, "GET", "/health", "");
                assertTrue(later.getInputStream().read() >= 0, log());
            }
        }
    }

    private void assertRefused(String response, int status) throws IOException {
        assertTrue(response.startsWith("HTTP/1.1 " + status + " ") && isWhole(response), response + log());
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 1\r\n"), response);
    }

    /** Guards against requests that are accepted late in the drain, although the process ends before their answer. */
    @Test
    public void requestThatCannotBeAnsweredByTheEndIsRejectedAtOnce() throws Exception {
        start(Duration.ofSeconds(2));
        Socket waiting = connect();
        send(waiting, "GET", "/v1/programs/n1~1~t~early/answer", "");
        awaitRead();
        process.destroy();
        awaitLog("event=drain_begin");
        long begin = clock.nanos();
        // Of the 6 s that the callers have, less than the 2 s that finding an owner may take are left.
        TimeUnit.MILLISECONDS.sleep(4200);
        Socket late = connect();
        send(late, "GET", "/v1/programs/n1~1~t~late/answer", "");
        assertRefused(receive(late), 503);
        Duration rejected = Duration.ofNanos(clock.nanos() - begin);
        assertTrue(rejected.compareTo(Duration.ofMillis(5500)) < 0, rejected + log());
        assertRefused(receive(waiting), 503);
        Duration answered = Duration.ofNanos(clock.nanos() - begin);
        assertTrue(answered.compareTo(Duration.ofMillis(5900)) > 0, answered + log());
        awaitEnd();
    }
}
