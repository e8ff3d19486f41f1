package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;

/** Log lines of one request, each with the ids by which its lines are found. */
final class RequestLog {
    private static final Logger LOG = System.getLogger(RequestLog.class.getName());

    private final String id;
    private final String program;
    private String route = "-";
    private long manifestVersion;

    RequestLog(Optional<RequestParameters> parameters) {
        this.id = parameters.map(RequestParameters::id).orElse("-");
        this.program = parameters.map(RequestParameters::program).orElse("-");
    }

    String id() {
        return id;
    }

    /** Sets the version of the manifest by which the request is matched. */
    void setManifestVersion(long version) {
        manifestVersion = version;
    }

    /** Sets the route of the request. */
    void setRoute(Route matched) {
        route = matched.name();
    }

    void placed(Candidate chosen, int promptTokens, int attempt) {
        Runner runner = chosen.runner();
        LOG.log(
                Logger.Level.INFO,
                () -> line("request_placed")
                        .with("runner", runner.incarnation())
                        .with("version", runner.softwareVersion())
                        .with("load", chosen.load())
                        .with("slots", runner.slots())
                        .with("prompt", promptTokens)
                        .with("missing", chosen.uncachedTokens())
                        .with("offer", attempt)
                        .with("manifest", manifestVersion)
                        .toString());
    }

    void notRun(Runner runner, String reason) {
        logAttempt("not_run_at_runner", runner, reason);
    }

    void sentAgain(Runner runner, String reason) {
        logAttempt("sent_again", runner, reason);
    }

    private void logAttempt(String event, Runner runner, String reason) {
        LOG.log(
                Logger.Level.INFO,
                () -> line(event)
                        .with("runner", runner.incarnation())
                        .with("reason", reason)
                        .toString());
    }

    void commitFailed(Throwable failure) {
        LOG.log(
                Logger.Level.WARNING,
                () -> line("commit_failed").failure(failure).toString());
    }

    void ended(String outcome, String cause, Duration elapsed, int attempts) {
        LOG.log(
                Logger.Level.INFO,
                () -> line("request_ended")
                        .with("outcome", outcome)
                        .with("cause", cause)
                        .with("ms", elapsed.toMillis())
                        .with("offers", attempts)
                        .with("manifest", manifestVersion)
                        .toString());
    }

    private LogLine line(String event) {
        return LogLine.of(event).with("request", id).with("program", program).with("route", route);
    }
}
