package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.RunnerLoss;

/**
 * Reads the losses that the store VMs keep, once, as a node starts. All nodes of a fleet may start together and before the
 * store VMs serve, so each asks for one ledger at a time until one has been read. Confined to the event loop.
 */
final class KeptLossReader {
    private static final Logger LOG = System.getLogger(KeptLossReader.class.getName());
    /** Maximum time for which calls wait for the losses. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);
    /** Time after which the losses are no longer read; most callers that knew them have given up by then. */
    private static final Duration MAX_TIME = Duration.ofSeconds(15);
    /** Timeout of one read, within which the client of the store VMs repeats its requests. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(300);
    /** Pause between two reads. */
    private static final Duration READ_PAUSE = Duration.ofMillis(400);

    private final EventLoop loop;
    private final RunnerLossLedger ledger;
    private final Consumer<List<RunnerLoss>> receiver;
    private Runnable listener = () -> {};
    private boolean awaited;
    private long startNanos;

    /**
     * Creates a reader.
     *
     * @param loop the event loop
     * @param ledger what the store VMs keep
     * @param receiver receives the losses
     */
    KeptLossReader(EventLoop loop, RunnerLossLedger ledger, Consumer<List<RunnerLoss>> receiver) {
        this.loop = loop;
        this.ledger = ledger;
        this.receiver = receiver;
    }

    /**
     * Begins to read.
     *
     * @param newListener called when calls no longer have to wait
     */
    void start(Runnable newListener) {
        listener = newListener;
        awaited = true;
        startNanos = loop.clock().nanos();
        loop.schedule(MAX_WAIT, this::endWait);
        read();
    }

    /** Returns whether calls have to wait until the losses are read. */
    boolean isAwaited() {
        return awaited;
    }

    private void read() {
        ledger.readAll(READ_TIMEOUT).whenComplete((losses, failure) -> loop.execute(() -> handleRead(losses, failure)));
    }

    private void handleRead(List<RunnerLoss> losses, Throwable failure) {
        long nanos = loop.clock().nanos() - startNanos;
        LogLine line = LogLine.of("runner_losses_read").with("ms", nanos / 1_000_000);
        if (failure == null) {
            receiver.accept(losses);
            LOG.log(Logger.Level.INFO, () -> line.with("losses", losses.size()).toString());
            endWait();
        } else if (nanos < MAX_TIME.toNanos()) {
            loop.schedule(READ_PAUSE, this::read);
        } else {
            LOG.log(Logger.Level.WARNING, () -> line.failure(failure).toString());
        }
    }

    private void endWait() {
        if (awaited) {
            awaited = false;
            listener.run();
        }
    }
}
