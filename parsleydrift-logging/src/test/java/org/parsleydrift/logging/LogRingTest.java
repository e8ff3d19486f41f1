package org.parsleydrift.logging;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.Test;

/** Tests the log with bursts of lines and with a blocked output. */
public class LogRingTest {
    private final ManualScheduler scheduler = new ManualScheduler();

    private static long countLines(ByteArrayOutputStream out, String prefix) {
        return out.toString(UTF_8)
                .lines()
                .filter(line -> line.startsWith(prefix))
                .count();
    }

    /** Guards against a burst of one event that fills the output, hides other events or is not reported. */
    @Test
    public void burstOfOneEventIsLimitedAndReported() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LogRing ring = new LogRing(out, scheduler);
        scheduler.advance(Duration.ofSeconds(2));
        ring.drain();
        for (int i = 0; i < 1000; i++) {
            ring.publish(Level.INFO, "Test", "event=burst n=" + i, null);
        }
        ring.publish(Level.INFO, "Test", "event=rare", null);
        ring.drain();
        scheduler.advance(Duration.ofSeconds(2));
        ring.drain();
        long kept = countLines(out, "event=burst");
        assertTrue(kept > 0 && kept < 100, "kept " + kept);
        assertEquals(countLines(out, "event=rare"), 1);
        assertTrue(
                out.toString(UTF_8).contains("event=log_lines_left_out kind=\"event=burst\" count=" + (1000 - kept)));
    }

    /**
     * Guards against callers that block because the log output is not read.
     */
    @Test
    public void blockedOutputDoesNotBlockCallers() {
        CountDownLatch released = new CountDownLatch(1);
        LogRing ring = new LogRing(
                new OutputStream() {
                    @Override
                    public void write(int value) throws IOException {
                        awaitRelease(released);
                    }

                    @Override
                    public void write(byte[] bytes, int from, int count) throws IOException {
                        awaitRelease(released);
                    }
                },
                scheduler);
        for (int i = 0; i < 50_000; i++) {
            ring.publish(Level.ERROR, "Test", "event=kind" + i, null);
        }
        released.countDown();
    }

    private static void awaitRelease(CountDownLatch released) throws IOException {
        try {
            released.await();
        } catch (InterruptedException ended) {
            throw new IOException(ended);
        }
    }
}
