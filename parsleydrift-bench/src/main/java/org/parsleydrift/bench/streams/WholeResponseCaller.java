package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * A caller that keeps its connection to a node, comes back to the node until it refuses, and demands one whole response for
 * each request that it has sent: the one that a runner has sent for this attempt, or a failure of the node's own.
 */
final class WholeResponseCaller {
    /** Time budget of a request. */
    private static final Duration DEADLINE = Duration.ofSeconds(6);

    private static final Duration LATENESS = Duration.ofSeconds(3);
    private static final Duration REFUSED_PAUSE = Duration.ofMillis(100);
    private static final int MAX_PAUSE_MILLIS = 150;
    private static final int MAX_CHUNK_PAUSE_MILLIS = 400;
    private static final int CHUNKED_SHARE = 3;
    /** One of so many requests is a HEAD request, is followed by another at once, uses a route that is dropped. */
    private static final int UNUSUAL_SHARE = 8;
    /** One of so many connections is read slowly. */
    private static final int SLOW_SHARE = 4;

    private final String name;
    private final SoakFleet fleet;
    private final ResponseOptions options;
    private final AttemptRecords records;
    private final SplittableRandom random;
    private final StreamSoakReport report;
    private final ResponseJudge judge;
    private final RuntimeClock clock;
    private int requests;

    WholeResponseCaller(
            String name, SoakFleet fleet, SplittableRandom random, StreamSoakReport report, ResponseOptions options) {
        this.name = name;
        this.fleet = fleet;
        this.options = options;
        this.records = fleet.attempts();
        this.random = random;
        this.report = report;
        this.clock = fleet.clock();
        this.judge = new ResponseJudge(records, report, clock, options);
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
        boolean slow = options.has(ResponseTrouble.CALLERS) && random.nextInt(SLOW_SHARE) == 0;
        try {
            return Optional.of(new CallerSocket(node.address(), slow));
        } catch (IOException refused) {
            report.count("response_refused_connections");
            return Optional.empty();
        }
    }

    /** Sends a request, or two at once, and judges what follows; returns whether the connection can be used again. */
    private boolean exchange(CallerSocket connection, SoakFleet.EntryNode node) throws IOException {
        CallerSocket.State state = connection.state();
        if (state == CallerSocket.State.CLOSED) {
            return false;
        }
        List<CallerAttempt> attempts = new ArrayList<>(List.of(draw(node)));
        if (state == CallerSocket.State.HAS_BYTES) {
            judge.violation(
                    "MIXED",
                    attempts.getFirst(),
                    "bytes before the request: " + RawHttp.readHead(connection.read(LATENESS)));
            return false;
        }
        if (isUnusual(ResponseTrouble.CALLERS)) {
            attempts.add(draw(node));
        }
        attempts.forEach(each -> each.setSent(clock.nanos()));
        boolean[] sent = new boolean[attempts.size()];
        try {
            for (int i = 0; i < sent.length && (i == 0 || sent[i - 1]); i++) {
                sent[i] = send(connection, attempts.get(i), i > 0);
                attempts.get(i).setSent(clock.nanos());
            }
        } catch (IOException broken) {
            report.count("response_broken_within_request");
        }
        boolean kept = true;
        for (int i = 0; i < sent.length; i++) {
            if (kept) {
                kept = receive(connection, attempts.get(i), sent[i]);
            } else if (sent[i]) {
                judge.judgeBehindLast(attempts.get(i));
            }
        }
        return kept;
    }

    private CallerAttempt draw(SoakFleet.EntryNode node) {
        boolean isHead = isUnusual(ResponseTrouble.CALLERS);
        String prefix = random.nextBoolean() ? CallerAttempt.ONCE : CallerAttempt.REPEATABLE;
        return new CallerAttempt(
                name + "-" + ++requests,
                isHead ? "HEAD" : "POST",
                isUnusual(ResponseTrouble.MANIFEST) ? CallerAttempt.CHANGING : prefix,
                !isHead && random.nextInt(CHUNKED_SHARE) == 0,
                node);
    }

    private boolean isUnusual(ResponseTrouble trouble) {
        return options.has(trouble) && random.nextInt(UNUSUAL_SHARE) == 0;
    }

    private boolean receive(CallerSocket connection, CallerAttempt attempt, boolean sent) {
        try {
            Optional<RawHttp.Head> first = RawHttp.readHead(connection.read(DEADLINE.plus(LATENESS)));
            if (first.isEmpty()) {
                judge.judgeLost(attempt, sent, "connection closed");
                return false;
            }
            RawHttp.Head head = first.orElseThrow();
            byte[] body = attempt.isHead() ? new byte[0] : RawHttp.readResponseBody(connection.read(LATENESS), head);
            judge.judge(attempt, head, body);
            return sent && !head.isLast();
        } catch (SocketTimeoutException late) {
            judge.violation("LOST", attempt, "no whole response in time");
        } catch (IOException broken) {
            judge.judgeLost(attempt, sent, broken.toString());
        }
        return false;
    }

    /** Returns whether the request was sent to its last byte; one that is answered early may be left incomplete. */
    private boolean send(CallerSocket connection, CallerAttempt attempt, boolean isFollowing) throws IOException {
        byte[] body = attempt.isHead() ? new byte[0] : records.requestBody(attempt.id());
        String framing = attempt.isChunked() ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length;
        String head = attempt.method() + " " + attempt.path() + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: "
                + attempt.id() + "\r\nX-Deadline-Ms: " + DEADLINE.toMillis() + "\r\n"
                + (attempt.isHead() ? "" : framing + "\r\n") + "\r\n";
        ByteArrayOutputStream first = new ByteArrayOutputStream();
        first.writeBytes(head.getBytes(ISO_8859_1));
        if (!attempt.isChunked()) {
            first.writeBytes(body);
            connection.write(first.toByteArray());
            return true;
        }
        int middle = body.length / 2;
        first.writeBytes(chunk(Arrays.copyOf(body, middle)));
        connection.write(first.toByteArray());
        boolean goesOn = goesOn(connection, isFollowing);
        if (goesOn) {
            connection.write(chunk(Arrays.copyOfRange(body, middle, body.length)));
            goesOn = goesOn(connection, isFollowing);
        }
        if (goesOn) {
            connection.write(chunk(new byte[0]));
        }
        return goesOn;
    }

    /** Pauses within a request; returns whether to send the rest, which is also done after some early responses. */
    private boolean goesOn(CallerSocket connection, boolean isFollowing) throws IOException {
        pause(MAX_CHUNK_PAUSE_MILLIS);
        return switch (connection.state()) {
            case OPEN -> true;
            case HAS_BYTES -> isFollowing || random.nextBoolean();
            case CLOSED -> false;
        };
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
}
