package org.parsleydrift.logging;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.SleepingWaitStrategy;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * An asynchronous log on a bounded ring buffer. Callers never block: lines are dropped while the buffer is full. The
 * lines of each event are rate limited, so that a burst of one event does not displace others. Counts of dropped and
 * suppressed lines are logged at most once per second.
 */
final class LogRing {
    /** Capacity in lines, a power of two as required by the ring buffer. */
    private static final int CAPACITY = 1 << 12;
    /** Maximum number of lines of one event per second. */
    private static final int MAX_LINES_PER_SECOND = 60;

    private static final Duration DRAIN_PERIOD = Duration.ofMillis(100);
    /** Drain period while there is nothing to write, longer to reduce wake-ups of an idle process. */
    private static final Duration IDLE_DRAIN_PERIOD = Duration.ofMillis(500);

    private static final Duration RATE_WINDOW = Duration.ofSeconds(1);

    private final RingBuffer<Line> ring =
            RingBuffer.createMultiProducer(Line::new, CAPACITY, new SleepingWaitStrategy());
    private final EventPoller<Line> poller = ring.newPoller();
    private final AtomicLong dropped = new AtomicLong();
    private final Map<String, RateWindow> rateWindows = new ConcurrentHashMap<>();
    private final OutputStream out;
    private final RuntimeClock clock;
    private final StringBuilder batch = new StringBuilder();
    private long windowStart;

    LogRing(OutputStream out, RuntimeClock clock) {
        this.out = out;
        this.clock = clock;
        ring.addGatingSequences(poller.getSequence());
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Adds a line without blocking. Errors are not rate limited. */
    void publish(Level level, String logger, String message, Throwable thrown) {
        if (level.getSeverity() < Level.ERROR.getSeverity() && !isWithinRateLimit(message)) {
            return;
        }
        long now = clock.instant().toEpochMilli();
        boolean published = ring.tryPublishEvent((line, sequence) -> line.set(now, level, logger, message, thrown));
        if (!published) {
            dropped.incrementAndGet();
        }
    }

    private boolean isWithinRateLimit(String message) {
        int end = message.indexOf(' ');
        String event = end < 0 ? message : message.substring(0, end);
        return rateWindows.computeIfAbsent(event, any -> new RateWindow()).lines.incrementAndGet()
                <= MAX_LINES_PER_SECOND;
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos((drain() ? DRAIN_PERIOD : IDLE_DRAIN_PERIOD).toNanos());
        }
    }

    /** Writes all buffered lines and returns whether anything was written. */
    synchronized boolean drain() {
        try {
            poller.poll((line, sequence, endOfBatch) -> {
                line.appendTo(batch);
                return true;
            });
            reportDiscardedLines();
            boolean hasOutput = !batch.isEmpty();
            if (hasOutput) {
                out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                batch.setLength(0);
            }
            return hasOutput;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void reportDiscardedLines() {
        long now = clock.nanos();
        if (now - windowStart < RATE_WINDOW.toNanos()) {
            return;
        }
        windowStart = now;
        rateWindows.forEach((event, window) -> {
            long suppressed = window.lines.getAndSet(0) - MAX_LINES_PER_SECOND;
            if (suppressed > 0) {
                batch.append(LogLine.of("log_lines_left_out")
                                .with("kind", event)
                                .with("count", suppressed))
                        .append('\n');
            }
        });
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            batch.append(LogLine.of("log_lines_dropped").with("count", droppedLines))
                    .append('\n');
        }
    }

    private static final class RateWindow {
        private final AtomicLong lines = new AtomicLong();
    }

    private static final class Line {
        private long atMillis;
        private Level level;
        private String logger;
        private String message;
        private Throwable thrown;

        private void set(long newAtMillis, Level newLevel, String newLogger, String newMessage, Throwable newThrown) {
            atMillis = newAtMillis;
            level = newLevel;
            logger = newLogger;
            message = newMessage;
            thrown = newThrown;
        }

        private void appendTo(StringBuilder text) {
            text.append(message)
                    .append(" at_ms=")
                    .append(atMillis)
                    .append(" level=")
                    .append(level)
                    .append(" logger=")
                    .append(logger)
                    .append('\n');
            if (thrown != null) {
                text.append("  ").append(thrown).append('\n');
                for (StackTraceElement frame : thrown.getStackTrace()) {
                    text.append("    ").append(frame).append('\n');
                }
            }
            thrown = null;
        }
    }
}
