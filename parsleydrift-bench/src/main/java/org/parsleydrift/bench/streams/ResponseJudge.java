package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/** Compares what callers get with what runners have sent. Thread-safe. */
final class ResponseJudge {
    /** Time within which the close of an idle connection and a request on it pass each other. */
    private static final Duration CROSSING = Duration.ofMillis(250);
    /** Time after which a runner has noticed a request that the node sent to it before the caller's connection ended. */
    private static final Duration SETTLING = Duration.ofMillis(200);
    /** Statuses that promise that a request has not run and will not. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;

    private final AttemptRecords records;
    private final StreamSoakReport report;
    private final RuntimeClock clock;
    private final boolean limitsChange;

    ResponseJudge(AttemptRecords records, StreamSoakReport report, RuntimeClock clock, ResponseOptions options) {
        this.records = records;
        this.report = report;
        this.clock = clock;
        this.limitsChange = options.has(ResponseTrouble.MANIFEST);
    }

    /** Judges a whole response. */
    void judge(CallerAttempt attempt, RawHttp.Head head, byte[] body) {
        int status = Integer.parseInt(head.part(1));
        report.count((attempt.isHead() ? "response_head_" : "response_") + status);
        String answered = head.header("X-Attempt-Id");
        String stamp = head.header("X-Server-Stamp");
        if (!answered.isEmpty() && !answered.equals(attempt.id())) {
            violation("MIXED", attempt, "response of " + answered);
        } else if (!stamp.isEmpty() && !stamp.endsWith("." + attempt.id())) {
            violation("MIXED", attempt, "stamp " + stamp);
        } else if (status == 200) {
            byte[] expected = attempt.isHead() ? new byte[0] : records.responseBody(attempt.id(), attempt.path());
            if (stamp.isEmpty() || !Arrays.equals(body, expected)) {
                violation("MIXED", attempt, "body of " + body.length + " bytes, not " + expected.length + ": " + head);
            }
        } else if (!stamp.isEmpty()) {
            violation("MIXED", attempt, "failure with a stamp: " + head);
        } else {
            judgeFailure(attempt, status);
        }
    }

    private void judgeFailure(CallerAttempt attempt, int status) {
        boolean isDue = (status == NOT_FOUND && attempt.isOnChangingRoute()) || (status == TOO_LARGE && limitsChange);
        if (PROMISES.contains(status)) {
            if (attempt.runsOnce() && records.refuse(attempt.id())) {
                violation("REFUSED", attempt, "has run and was answered " + status);
            }
        } else if (status < 500 && !isDue) {
            violation("DENIED", attempt, "answered " + status);
        }
    }

    /** Judges the end of a connection before a whole response. */
    void judgeLost(CallerAttempt attempt, boolean sent, String end) {
        long endedNanos = clock.nanos();
        LockSupport.parkNanos(SETTLING.toNanos());
        boolean hasRun = records.runs(attempt.id()) > 0;
        if (attempt.process().wasKilledAfter(attempt.sentNanos())) {
            report.count("response_killed");
        } else if (records.isBrokenOff(attempt.id())) {
            report.count("response_broken_off_by_runner");
        } else if (!sent && !hasRun) {
            report.count("response_closed_within_request");
        } else if (endedNanos - attempt.sentNanos() < CROSSING.toNanos() && !hasRun) {
            report.count("response_crossed_close");
        } else {
            violation("LOST", attempt, end, endedNanos);
        }
    }

    /** Judges a request that was sent before the response to another after which the node closes the connection. */
    void judgeBehindLast(CallerAttempt attempt) {
        LockSupport.parkNanos(SETTLING.toNanos());
        if (records.runs(attempt.id()) > 0) {
            violation("LOST", attempt, "connection closed with the response before");
        } else {
            report.count("response_not_read_behind_last");
        }
    }

    void violation(String kind, CallerAttempt attempt, String what) {
        violation(kind, attempt, what, clock.nanos());
    }

    private void violation(String kind, CallerAttempt attempt, String what, long nanos) {
        RoleProcess process = attempt.process();
        long endedMillis = clock.instant().toEpochMilli() - (clock.nanos() - nanos) / 1_000_000;
        report.count("violation_" + kind);
        report.violation(kind + " attempt=" + attempt.id() + " " + attempt.method() + " path=" + attempt.path()
                + " chunked=" + attempt.isChunked() + " node=" + process.name() + " sent="
                + process.sinceTermination(attempt.sentNanos()) + " ended=" + process.sinceTermination(nanos)
                + " at_ms=" + endedMillis + " runners=" + records.trace(attempt.id()) + ": " + what);
    }
}
