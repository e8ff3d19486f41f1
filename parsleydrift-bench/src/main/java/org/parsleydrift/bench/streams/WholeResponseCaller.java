package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * A caller that keeps its connection to a node, comes back to the node until it refuses, and demands one whole response for
 * each request that it has sent: the one that a runner has sent for this attempt, or a failure of the node's own.
 */
final class WholeResponseCaller {
    /** Paths of calls that runners may run more than once, and of others. */
    static final String REPEATABLE = "/answers/";

    static final String ONCE = "/single-answers/";
    /** Time budget of a request. */
    static final Duration DEADLINE = Duration.ofSeconds(6);

    private static final Duration LATENESS = Duration.ofSeconds(3);
    /** Time within which the close of an idle connection and a request on it pass each other. */
    private static final Duration CROSSING = Duration.ofMillis(250);
    /** Time after which a runner has noticed a request that the node sent to it before the caller's connection ended. */
    private static final Duration SETTLING = Duration.ofMillis(200);

    private static final Duration REFUSED_PAUSE = Duration.ofMillis(100);
    private static final int MAX_PAUSE_MILLIS = 150;
    private static final int MAX_CHUNK_PAUSE_MILLIS = 400;
    private static final int CHUNKED_SHARE = 3;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final String name;
    private final SoakFleet fleet;
    private final AttemptRecords records;
    private final SplittableRandom random;
    private final StreamSoakReport report;
    private final RuntimeClock clock;
    private int requests;

    /** One request. */
    private static final class Attempt {
        private final String id;
        private final String path;
        private final boolean chunked;
        private final SoakFleet.EntryNode node;
        private long sentNanos;

        private Attempt(String id, boolean once, boolean chunked, SoakFleet.EntryNode node) {
            this.id = id;
            this.path = (once ? ONCE : REPEATABLE) + id;
            this.chunked = chunked;
            this.node = node;
        }

        private boolean once() {
            return path.startsWith(ONCE);
        }
    }

    WholeResponseCaller(String name, SoakFleet fleet, SplittableRandom random, StreamSoakReport report) {
        this.name = name;
        this.fleet = fleet;
        this.records = fleet.attempts();
        this.random = random;
        this.report = report;
        this.clock = fleet.clock();
    }

    /** Sends requests until the given time. */
    void run(long endNanos) {
        SoakFleet.EntryNode node = choose();
        while (clock.nanos() - endNanos < 0) {
            Optional<CallerSocket> connection = connect(node);
            if (connection.isEmpty()) {
                LockSupport.parkNanos(REFUSED_PAUSE.toNanos());
                node = choose();
                continue;
            }
            try (CallerSocket open = connection.orElseThrow()) {
                boolean kept = true;
                while (kept && clock.nanos() - endNanos < 0) {
                    kept = exchange(open, node);
                    pause(MAX_PAUSE_MILLIS);
                }
            } catch (IOException closed) {
                report.count("response_closed_between_requests");
            }
        }
    }

    private SoakFleet.EntryNode choose() {
        return fleet.entries().get(random.nextInt(fleet.entries().size()));
    }

    private Optional<CallerSocket> connect(SoakFleet.EntryNode node) {
        try {
            return Optional.of(new CallerSocket(node.address()));
        } catch (IOException refused) {
            report.count("response_refused_connections");
            return Optional.empty();
        }
    }

    /** Sends a request and judges what follows; returns whether the connection can be used again. */
    private boolean exchange(CallerSocket connection, SoakFleet.EntryNode node) throws IOException {
        CallerSocket.State state = connection.state();
        if (state == CallerSocket.State.CLOSED) {
            return false;
        }
        Attempt attempt =
                new Attempt(name + "-" + ++requests, random.nextBoolean(), random.nextInt(CHUNKED_SHARE) == 0, node);
        if (state == CallerSocket.State.HAS_BYTES) {
            violation("MIXED", attempt, "bytes before the request: " + head(connection));
            return false;
        }
        boolean sent = false;
        try {
            attempt.sentNanos = clock.nanos();
            sent = send(connection, attempt);
            attempt.sentNanos = clock.nanos();
            Optional<RawHttp.Head> head = RawHttp.readHead(connection.read(DEADLINE.plus(LATENESS)));
            if (head.isPresent()) {
                byte[] body = RawHttp.readResponseBody(connection.read(LATENESS), head.orElseThrow());
                judge(attempt, head.orElseThrow(), body);
                return sent && !head.orElseThrow().isLast();
            }
            judgeLost(attempt, sent, "connection closed");
        } catch (SocketTimeoutException late) {
            violation("LOST", attempt, "no whole response in time");
        } catch (IOException broken) {
            judgeLost(attempt, sent, broken.toString());
        }
        return false;
    }

    private Optional<RawHttp.Head> head(CallerSocket connection) throws IOException {
        return RawHttp.readHead(connection.read(CROSSING));
    }

    /** Returns whether the request was sent to its last byte without a response or a close before it. */
    private boolean send(CallerSocket connection, Attempt attempt) throws IOException {
        byte[] body = records.requestBody(attempt.id);
        String head = "POST " + attempt.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + attempt.id
                + "\r\nX-Deadline-Ms: " + DEADLINE.toMillis() + "\r\n"
                + (attempt.chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length) + "\r\n\r\n";
        ByteArrayOutputStream first = new ByteArrayOutputStream();
        first.writeBytes(head.getBytes(ISO_8859_1));
        if (!attempt.chunked) {
            first.writeBytes(body);
            connection.write(first.toByteArray());
            return true;
        }
        int middle = body.length / 2;
        first.writeBytes(chunk(Arrays.copyOf(body, middle)));
        connection.write(first.toByteArray());
        pause(MAX_CHUNK_PAUSE_MILLIS);
        if (connection.state() != CallerSocket.State.OPEN) {
            return false;
        }
        connection.write(chunk(Arrays.copyOfRange(body, middle, body.length)));
        pause(MAX_CHUNK_PAUSE_MILLIS);
        if (connection.state() != CallerSocket.State.OPEN) {
            return false;
        }
        connection.write(chunk(new byte[0]));
        return true;
    }

    private static byte[] chunk(byte[] bytes) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(ISO_8859_1));
        chunk.writeBytes(bytes);
        chunk.writeBytes("\r\n".getBytes(ISO_8859_1));
        return chunk.toByteArray();
    }

    private void pause(int maxMillis) {
        LockSupport.parkNanos(Duration.ofMillis(random.nextInt(maxMillis)).toNanos());
    }

    private void judge(Attempt attempt, RawHttp.Head head, byte[] body) {
        String status = head.part(1);
        report.count("response_" + status);
        String answered = head.header("X-Attempt-Id");
        boolean isRunners = !head.header("X-Server-Stamp").isEmpty();
        if (!answered.isEmpty() && !answered.equals(attempt.id)) {
            violation("MIXED", attempt, "response of " + answered);
        } else if (isRunners && !head.header("X-Server-Stamp").endsWith("." + attempt.id)) {
            violation("MIXED", attempt, "stamp " + head.header("X-Server-Stamp"));
        } else if (status.equals("200")) {
            byte[] expected = records.responseBody(attempt.id, attempt.path);
            if (!isRunners || !Arrays.equals(body, expected)) {
                violation("MIXED", attempt, "body of " + body.length + " bytes, not " + expected.length + ": " + head);
            }
        } else if (isRunners) {
            violation("MIXED", attempt, "failure with a stamp: " + head);
        } else if (PROMISES.contains(Integer.parseInt(status))) {
            if (attempt.once() && records.refuse(attempt.id)) {
                violation("REFUSED", attempt, "has run and was answered " + status);
            }
        } else if (!status.startsWith("5")) {
            violation("DENIED", attempt, "answered " + head);
        }
    }

    /** Judges the end of a connection before a whole response. */
    private void judgeLost(Attempt attempt, boolean sent, String end) {
        long endedNanos = clock.nanos();
        LockSupport.parkNanos(SETTLING.toNanos());
        boolean crossed = endedNanos - attempt.sentNanos < CROSSING.toNanos() && records.runs(attempt.id) == 0;
        if (attempt.node.process().wasKilledAfter(attempt.sentNanos)) {
            report.count("response_killed");
        } else if (!sent && records.runs(attempt.id) == 0) {
            report.count("response_closed_within_request");
        } else if (crossed) {
            report.count("response_crossed_close");
        } else {
            violation("LOST", attempt, end, endedNanos);
        }
    }

    private void violation(String kind, Attempt attempt, String what) {
        violation(kind, attempt, what, clock.nanos());
    }

    private void violation(String kind, Attempt attempt, String what, long nanos) {
        RoleProcess process = attempt.node.process();
        long endedMillis = clock.instant().toEpochMilli() - (clock.nanos() - nanos) / 1_000_000;
        report.count("violation_" + kind);
        report.violation(kind + " attempt=" + attempt.id + " path=" + attempt.path + " chunked=" + attempt.chunked
                + " node=" + process.name() + " sent=" + process.sinceTermination(attempt.sentNanos) + " ended="
                + process.sinceTermination(nanos) + " at_ms=" + endedMillis + " runners="
                + records.trace(attempt.id) + ": " + what);
    }
}
