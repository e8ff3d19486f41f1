package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/** A caller of a team with a quota, which keeps its connection to a node until that closes it. */
final class QuotaCaller {
    private static final Duration DEADLINE = Duration.ofSeconds(6);
    private static final Duration LATENESS = Duration.ofSeconds(3);
    private static final Duration REFUSED_PAUSE = Duration.ofMillis(100);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int OK = 200;

    private final String name;
    private final SoakManifest.SoakTeam team;
    private final Duration pause;
    private final SoakFleet fleet;
    private final SplittableRandom random;
    private final StreamSoakReport report;
    private final RuntimeClock clock;
    private int requests;

    /**
     * Creates a caller.
     *
     * @param name name in the ids of its requests
     * @param team its team
     * @param pause mean pause between two requests
     * @param fleet the processes
     * @param random source of randomness
     * @param report counts and violations
     */
    QuotaCaller(
            String name,
            SoakManifest.SoakTeam team,
            Duration pause,
            SoakFleet fleet,
            SplittableRandom random,
            StreamSoakReport report) {
        this.name = name;
        this.team = team;
        this.pause = pause;
        this.fleet = fleet;
        this.random = random;
        this.report = report;
        this.clock = fleet.clock();
    }

    /** Sends requests from one time to another. */
    void run(long beginNanos, long endNanos) {
        LockSupport.parkNanos(beginNanos - clock.nanos());
        while (clock.nanos() - endNanos < 0) {
            SoakFleet.EntryNode node =
                    fleet.entries().get(random.nextInt(fleet.entries().size()));
            try (CallerSocket connection = new CallerSocket(node.address(), false)) {
                boolean kept = true;
                while (kept && clock.nanos() - endNanos < 0) {
                    kept = exchange(connection, node);
                }
            } catch (IOException broken) {
                report.count("quota_connections_broken");
                LockSupport.parkNanos(REFUSED_PAUSE.toNanos());
            }
        }
    }

    private boolean exchange(CallerSocket connection, SoakFleet.EntryNode node) throws IOException {
        String id = name + "-" + ++requests;
        QuotaRecords records = fleet.quotaRecords(team);
        records.recordSent(id, clock.nanos());
        connection.write(request(id));
        Optional<RawHttp.Head> head = RawHttp.readHead(connection.read(DEADLINE.plus(LATENESS)));
        if (head.isEmpty()) {
            return false;
        }
        RawHttp.readResponseBody(connection.read(LATENESS), head.get());
        int status = Integer.parseInt(head.get().part(1));
        report.count("quota_" + team.name() + "_" + status);
        boolean isRejected = status == TOO_MANY_REQUESTS && records.hadRoom(clock.nanos());
        if (isRejected) {
            report.count("quota_" + team.name() + "_rejected_with_room");
        }
        if (isRejected && team.isCalm() && node.isInTouch()) {
            report.violation("REJECTED request=" + id + " node="
                    + node.process().name() + " has status 429 below the quota of team " + team.name());
        }
        LockSupport.parkNanos(status == OK ? drawPause() : retryNanos(head.get()));
        return !head.get().isLast();
    }

    private long drawPause() {
        return pause.isZero() ? 0 : random.nextLong(2 * pause.toNanos());
    }

    private static long retryNanos(RawHttp.Head head) {
        String after = head.header("Retry-After");
        return after.isEmpty() ? REFUSED_PAUSE.toNanos() : (long) (Double.parseDouble(after) * 1e9);
    }

    private byte[] request(String id) {
        byte[] body = fleet.attempts().requestBody(id);
        String prefix = random.nextBoolean() ? CallerAttempt.ONCE : CallerAttempt.REPEATABLE;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("POST " + prefix + id + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + id
                        + "\r\nX-Credential: " + team.key() + "\r\nX-Deadline-Ms: " + DEADLINE.toMillis()
                        + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }
}
