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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Signals to a daemon process whose platform does not answer, so that requests wait for an owner. */
public class DaemonProcessTest {
    private static final int SIGNALLED_STARTS = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL = Duration.ofMillis(1);
    /** Ports below those that the system assigns to outgoing connections, which could take one before the process does. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 2_000;

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
}
