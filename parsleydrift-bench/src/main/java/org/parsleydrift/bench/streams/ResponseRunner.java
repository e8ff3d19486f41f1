package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * Runner of plain calls on bare sockets. The body of each response depends on the attempt, its path and the seed of the run;
 * some calls are slow, and some run without an end.
 */
final class ResponseRunner implements AutoCloseable {
    /** Service of these runners. */
    static final String SERVICE = "clerk";

    private static final int SLOTS = 64;
    private static final int BACKLOG = 256;
    private static final int SLOW_PERCENT = 5;
    private static final int UNANSWERED_PERCENT = 3;
    private static final int MIN_SLOW_MILLIS = 3000;
    private static final int MAX_SLOW_MILLIS = 5000;
    private static final int MAX_FAST_MILLIS = 60;

    private final String id;
    private final AttemptRecords records;
    private final StreamSoakReport report;
    private final RuntimeClock clock;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    ResponseRunner(String id, AttemptRecords records, StreamSoakReport report, RuntimeClock clock) throws IOException {
        this.id = id;
        this.records = records;
        this.report = report;
        this.clock = clock;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    String id() {
        return id;
    }

    /** Returns the runner's entry at the platform. */
    String entry() {
        return """
                {"service": "%s", "address": "127.0.0.1:%d", "zone": "a", "version": "v1", "seq": 1,
                 "cold_left_ms": 0, "slots": %d, "state": "ready"}
                """.formatted(SERVICE, listener.getLocalPort(), SLOTS);
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                Thread.startVirtualThread(() -> serve(connection));
            }
        } catch (IOException closed) {
            connections.forEach(ResponseRunner::close);
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            Optional<RawHttp.Head> head = RawHttp.readHead(in);
            while (head.isPresent()) {
                answer(connection, head.orElseThrow(), RawHttp.readRequestBody(in, head.orElseThrow()));
                head = RawHttp.readHead(in);
            }
        } catch (IOException ended) {
            report.count("runner_connections_broken");
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(Socket connection, RawHttp.Head head, byte[] body) throws IOException, InterruptedException {
        String attempt = head.header("X-Attempt-Id");
        String path = head.part(1);
        if (path.equals(VersionedRunner.HEALTH)) {
            write(connection, response(200, attempt, new byte[0]));
            return;
        }
        if (!head.header("X-Expect-Instance").equals(id)
                && !head.header("X-Expect-Instance").isEmpty()) {
            write(connection, response(421, attempt, new byte[0]));
            return;
        }
        int runs = records.recordRun(attempt, event("runs"));
        if (path.startsWith(WholeResponseCaller.ONCE) && (runs > 1 || records.isRefused(attempt))) {
            report.violation(
                    (runs > 1 ? "TWICE" : "REFUSED") + " attempt=" + attempt + " runners=" + records.trace(attempt));
        }
        if (!Arrays.equals(body, records.requestBody(attempt))) {
            report.violation("REQUEST_CHANGED attempt=" + attempt + " runner=" + id + " received "
                    + new String(body, ISO_8859_1));
        }
        SplittableRandom random = records.random(id + attempt);
        int draw = random.nextInt(100);
        if (draw < UNANSWERED_PERCENT) {
            records.record(attempt, event("is never answered"));
            awaitEnd(connection);
            records.record(attempt, event("connection closed by the node"));
            return;
        }
        int millis = draw < UNANSWERED_PERCENT + SLOW_PERCENT
                ? random.nextInt(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS)
                : random.nextInt(MAX_FAST_MILLIS);
        Thread.sleep(Duration.ofMillis(millis));
        write(connection, response(200, attempt, records.responseBody(attempt, path)));
        records.record(attempt, event("answered"));
    }

    private String event(String what) {
        return id + " " + what + " at_ms=" + clock.instant().toEpochMilli();
    }

    private static void awaitEnd(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        while (in.read() >= 0) {
            // Nothing is expected before the end.
        }
    }

    private byte[] response(int status, String attempt, byte[] body) {
        String head = "HTTP/1.1 " + status + " S\r\nContent-Type: text/plain\r\nContent-Length: " + body.length
                + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + stamp(attempt) + "\r\nX-Instance-Id: " + id
                + "\r\n\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    private String stamp(String attempt) {
        return id + "." + attempt;
    }

    private static void write(Socket connection, byte[] bytes) throws IOException {
        connection.getOutputStream().write(bytes);
    }

    private static void close(Socket connection) {
        try {
            connection.close();
        } catch (IOException fault) {
            // The connection has ended already.
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException fault) {
            report.note("listener of " + id + " not closed: " + fault);
        }
    }
}
