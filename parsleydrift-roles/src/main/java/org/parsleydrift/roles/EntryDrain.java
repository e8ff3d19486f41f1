package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.relay.CallerServer;
import org.parsleydrift.relay.OwedResponses;
import org.parsleydrift.relay.Relay;

/**
 * Ends the service of an entry process within its grace time. Callers with old address lists are served for a while; each
 * request that the process has read is answered before it ends. Confined to one event loop, except for {@link #run}.
 */
final class EntryDrain {
    private static final Logger LOG = System.getLogger(EntryDrain.class.getName());

    /** Fraction of the grace time during which connections are accepted, for callers with an old address list. */
    private static final double ACCEPT_FRACTION = 0.6;
    /** Fraction of the grace time after which requests are answered that are still open. */
    private static final double ANSWER_FRACTION = 0.93;
    /** Fraction of the grace time after which the process exits; until then the last responses are sent. */
    private static final double EXIT_FRACTION = 0.97;

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);
    private static final Duration MAX_REPORT_WAIT = Duration.ofMillis(100);

    private final EventLoop loop;
    private final Duration grace;
    private final Relay relay;
    private final CallerServer server;
    private final CountDownLatch drained = new CountDownLatch(1);
    private long startNanos;
    private boolean answered;

    /**
     * Creates a drain that has not begun.
     *
     * @param loop event loop of the relay and the server
     * @param grace time from SIGTERM until the process is killed
     * @param relay relay of the requests
     * @param server server of the callers' connections
     */
    EntryDrain(EventLoop loop, Duration grace, Relay relay, CallerServer server) {
        this.loop = loop;
        this.grace = grace;
        this.relay = relay;
        this.server = server;
    }

    /**
     * Drains the process; returns when it may exit.
     *
     * @param announcement tells the peers that this node is not ready; runs on the loop
     * @param isOtherNodeReady whether another node can serve callers; called on the loop
     */
    void run(Runnable announcement, BooleanSupplier isOtherNodeReady) throws InterruptedException {
        LOG.log(Logger.Level.INFO, LogLine.of("drain_begun").toString());
        startNanos = loop.clock().nanos();
        loop.execute(() -> {
            relay.endBy(startNanos + after(ANSWER_FRACTION).toNanos(), isOtherNodeReady);
            announcement.run();
            server.drain();
            loop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
            loop.schedule(after(ANSWER_FRACTION), this::answer);
        });
        boolean complete = drained.await(after(EXIT_FRACTION).toMillis(), TimeUnit.MILLISECONDS);
        CountDownLatch reported = new CountDownLatch(1);
        loop.execute(() -> {
            if (!complete) {
                // Not done yet if the process stood still from before the time for it until now.
                answer();
            }
            report(complete);
            reported.countDown();
        });
        reported.await(MAX_REPORT_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void check() {
        Duration elapsed = Duration.ofNanos(loop.clock().nanos() - startNanos);
        if (elapsed.compareTo(after(ACCEPT_FRACTION)) >= 0) {
            server.closeIdleConnections();
            if (!server.isListening() && relay.openRequests() == 0 && server.openConnections() == 0) {
                drained.countDown();
            }
        }
    }

    private void answer() {
        if (!answered) {
            answered = true;
            LOG.log(Logger.Level.INFO, line("drain_answers_open_requests").toString());
            server.endRequests();
        }
    }

    private void report(boolean complete) {
        LOG.log(
                Logger.Level.INFO,
                line("drain_ended").with("complete", complete).toString());
        relay.owedResponses().reportMissing();
    }

    /** Returns a log line with the numbers of owed responses by stage. */
    private LogLine line(String event) {
        OwedResponses owed = relay.owedResponses();
        LogLine line = LogLine.of(event).with("owed", owed.count());
        owed.countByStage().forEach((stage, count) -> line.with(stage.label(), count));
        return line;
    }

    private Duration after(double fraction) {
        return Duration.ofMillis((long) (grace.toMillis() * fraction));
    }
}
