package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;

/**
 * Determines whether an entry node knows the runner losses that its peers have seen. After its start, and after its process
 * has stood still, it does not until enough peers have answered its queries or are taken for unreachable. Confined to its
 * event loop.
 */
final class RunnerLossSync {
    private static final Logger LOG = System.getLogger(RunnerLossSync.class.getName());
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    /** Time between two checks from which on the process has stood still, and reports to it may have been dropped. */
    private static final Duration MIN_STALL = Duration.ofMillis(500);
    /** Maximum wait for the platform's list of nodes after the start. */
    private static final Duration MAX_LIST_WAIT = Duration.ofSeconds(1);
    /** Maximum wait for the answers of known peers. */
    private static final Duration MAX_ANSWER_WAIT = Duration.ofMillis(300);
    /** Maximum number of peers that are asked in a period. */
    private static final int MAX_QUERIED_PEERS = 8;
    /** Number of answers that suffice, as each loss is reported to all nodes. */
    private static final int SUFFICIENT_ANSWERS = 2;

    private final EventLoop loop;
    private final Supplier<List<NodeIdentity>> peers;
    private final Consumer<NodeIdentity> query;
    private final Runnable listener;
    private boolean started;
    private boolean current = true;
    private long lastCheckNanos;
    private long endNanos;
    private int answers;

    /**
     * Creates the state of a node that has not started.
     *
     * @param loop event loop that it is confined to
     * @param peers returns the peers to ask
     * @param query sends a query to a peer
     * @param listener called when the losses of the peers are known from now on
     */
    RunnerLossSync(
            EventLoop loop, Supplier<List<NodeIdentity>> peers, Consumer<NodeIdentity> query, Runnable listener) {
        this.loop = loop;
        this.peers = peers;
        this.query = query;
        this.listener = listener;
    }

    /** Begins to ask peers as soon as some are known. */
    void start() {
        started = true;
        begin("start", MAX_LIST_WAIT);
        loop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
    }

    /** Handles the first list of nodes of the platform, which shows whether there are peers to ask. */
    void peersListed() {
        if (!current) {
            begin("peers_listed", MAX_ANSWER_WAIT);
        }
        if (peers.get().isEmpty()) {
            complete();
        }
    }

    /** Handles the answer of a peer that knows the losses itself. */
    void recordAnswer() {
        answers++;
        if (!current && answers >= Math.min(SUFFICIENT_ANSWERS, peers.get().size())) {
            complete();
        }
    }

    /** Returns whether the losses of the peers are known. */
    boolean isCurrent() {
        if (current && hasStalled()) {
            begin("stall", MAX_ANSWER_WAIT);
        }
        return current;
    }

    private boolean hasStalled() {
        return started && loop.clock().nanos() - lastCheckNanos > MIN_STALL.toNanos();
    }

    private void check() {
        boolean wasCurrent = isCurrent();
        lastCheckNanos = loop.clock().nanos();
        if (!wasCurrent) {
            if (lastCheckNanos - endNanos >= 0) {
                complete();
            } else {
                ask();
            }
        }
    }

    private void begin(String reason, Duration wait) {
        current = false;
        answers = 0;
        lastCheckNanos = loop.clock().nanos();
        endNanos = lastCheckNanos + wait.toNanos();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_losses_asked_for")
                        .with("reason", reason)
                        .toString());
        ask();
    }

    private void ask() {
        peers.get().stream().limit(MAX_QUERIED_PEERS).forEach(query);
    }

    private void complete() {
        if (!current) {
            current = true;
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("runner_losses_known")
                            .with("answers", answers)
                            .with("peers", peers.get().size())
                            .toString());
            listener.run();
        }
    }
}
