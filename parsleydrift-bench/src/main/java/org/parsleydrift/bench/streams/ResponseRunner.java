package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ObjLongConsumer;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * Runner of plain calls on bare sockets. The body of each response depends on the attempt, its path and the seed of the run;
 * how it is sent is drawn as well.
 */
final class ResponseRunner implements AutoCloseable {
    /** Service of these runners. */
    static final String SERVICE = "clerk";

    private static final int SLOTS = 64;
    private static final int BACKLOG = 256;
    private static final int MIN_SLOW_MILLIS = 3000;
    private static final int MAX_SLOW_MILLIS = 5000;
    private static final int MAX_FAST_MILLIS = 60;
    /** Times after which a response is sent once more. */
    private static final int[] REPETITION_MILLIS = {0, 2, 20, 200};

    private final String id;
    private final boolean irregular;
    private final AttemptRecords records;
    private final StreamSoakReport report;
    private final RuntimeClock clock;
    private final ObjLongConsumer<String> runListener;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    ResponseRunner(
            String id,
            boolean irregular,
            AttemptRecords records,
            StreamSoakReport report,
            RuntimeClock clock,
            ObjLongConsumer<String> runListener)
            throws IOException {
        this.id = id;
        this.irregular = irregular;
        this.records = records;
        this.report = report;
        this.clock = clock;
        this.runListener = runListener;
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
            while (head.isPresent() && answer(connection, in, head.orElseThrow())) {
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

    /** Answers a request; returns whether the connection is kept. */
    private boolean answer(Socket connection, InputStream in, RawHttp.Head head)
            throws IOException, InterruptedException {
        String attempt = head.header("X-Attempt-Id");
        String expected = head.header("X-Expect-Instance");
        boolean isMistaken = !expected.isEmpty() && !expected.equals(id);
        if (isMistaken || head.part(1).equals(VersionedRunner.HEALTH)) {
            RawHttp.readRequestBody(in, head);
            write(connection, response(isMistaken ? 421 : 200, attempt, new byte[0], true));
            return true;
        }
        SplittableRandom random = records.random(id + attempt);
        RunnerAnswer answer = RunnerAnswer.draw(random, irregular);
        if (answer == RunnerAnswer.EARLY) {
            recordRun(head, answer);
            writeEarly(connection, in, head);
        } else {
            checkBody(attempt, RawHttp.readRequestBody(in, head), head);
            recordRun(head, answer);
            return answer(connection, head, answer, random);
        }
        return true;
    }

    private void writeEarly(Socket connection, InputStream in, RawHttp.Head head) throws IOException {
        String attempt = head.header("X-Attempt-Id");
        write(connection, response(200, attempt, body(head), true));
        records.record(attempt, event("answered"));
        checkBody(attempt, RawHttp.readRequestBody(in, head), head);
    }

    private void recordRun(RawHttp.Head head, RunnerAnswer answer) {
        String attempt = head.header("X-Attempt-Id");
        runListener.accept(attempt, clock.nanos());
        int runs = records.recordRun(attempt, event("runs " + answer), answer.isBrokenOff());
        if (head.part(1).startsWith(CallerAttempt.ONCE) && (runs > 1 || records.isRefused(attempt))) {
            report.violation(
                    (runs > 1 ? "TWICE" : "REFUSED") + " attempt=" + attempt + " runners=" + records.trace(attempt));
        }
    }

    private void checkBody(String attempt, byte[] body, RawHttp.Head head) {
        byte[] expected = isHead(head) ? new byte[0] : records.requestBody(attempt);
        if (!Arrays.equals(body, expected)) {
            report.violation("REQUEST_CHANGED attempt=" + attempt + " runner=" + id + " received "
                    + new String(body, ISO_8859_1));
        }
    }

    /** Answers a request that was read; returns whether the connection is kept. */
    private boolean answer(Socket connection, RawHttp.Head head, RunnerAnswer answer, SplittableRandom random)
            throws IOException, InterruptedException {
        String attempt = head.header("X-Attempt-Id");
        if (answer == RunnerAnswer.UNANSWERED) {
            awaitEnd(connection);
            records.record(attempt, event("connection closed by the node"));
            return false;
        }
        boolean slow = answer == RunnerAnswer.SLOW;
        Thread.sleep(slow ? random.nextInt(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS) : random.nextInt(MAX_FAST_MILLIS));
        byte[] body = body(head);
        byte[] whole = response(200, attempt, body, true);
        byte[] unframed = response(200, attempt, body, false);
        // A part of a response without a body would end within its head.
        byte[] part = Arrays.copyOf(whole, whole.length - (body.length + 1) / 2);
        int repetition = REPETITION_MILLIS[random.nextInt(REPETITION_MILLIS.length)];
        boolean kept = true;
        switch (isHead(head) ? RunnerAnswer.WHOLE : answer) {
            case REPEATED -> write(connection, whole, repetition, whole);
            case CUT_THEN_WHOLE -> write(connection, part, repetition, whole);
            case WHOLE_THEN_CUT -> write(connection, whole, repetition, part);
            case UNFRAMED -> {
                write(connection, unframed);
                kept = false;
            }
            case UNFRAMED_REPEATED -> {
                write(connection, unframed, repetition, unframed);
                kept = false;
            }
            default -> write(connection, isHead(head) ? Arrays.copyOf(whole, whole.length - body.length) : whole);
        }
        records.record(attempt, event("answered, repetition_ms=" + repetition));
        return kept;
    }

    private static boolean isHead(RawHttp.Head head) {
        return head.part(0).equals("HEAD");
    }

    private byte[] body(RawHttp.Head head) {
        return records.responseBody(head.header("X-Attempt-Id"), head.part(1));
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

    private byte[] response(int status, String attempt, byte[] body, boolean hasLength) {
        String framing = hasLength ? "Content-Length: " + body.length : "Connection: close";
        String head = "HTTP/1.1 " + status + " S\r\nContent-Type: text/plain\r\n" + framing + "\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Server-Stamp: " + stamp(attempt) + "\r\nX-Instance-Id: " + id + "\r\n\r\n";
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

    private static void write(Socket connection, byte[] first, int pauseMillis, byte[] second)
            throws IOException, InterruptedException {
        write(connection, first);
        Thread.sleep(pauseMillis);
        write(connection, second);
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
