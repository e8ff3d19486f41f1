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

/** The log under storms and with an output that takes nothing. */
public class LogRingTest {
    private final ManualScheduler time = new ManualScheduler();

    private static long lines(ByteArrayOutputStream out, String start) {
        return out.toString(UTF_8)
                .lines()
                .filter(line -> line.startsWith(start))
                .count();
    }

    /** A storm of one kind is thinned, told, and hides no other kind. */
    @Test
    public void aStormOfOneKindIsThinnedAndTold() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LogRing ring = new LogRing(out, time);
        time.advance(Duration.ofSeconds(2));
        ring.drain();
        for (int i = 0; i < 1000; i++) {
            ring.publish(Level.INFO, "Test", "event=storm n=" + i, null);
        }
        ring.publish(Level.INFO, "Test", "event=rare", null);
        ring.drain();
        time.advance(Duration.ofSeconds(2));
        ring.drain();
        long kept = lines(out, "event=storm");
        assertTrue(kept > 0 && kept < 100, "kept " + kept);
        assertEquals(lines(out, "event=rare"), 1);
        assertTrue(
                out.toString(UTF_8).contains("event=log_lines_left_out kind=\"event=storm\" count=" + (1000 - kept)));
    }

    /**
     * Symptom: requests stall while nobody reads the output. Events: the output blocks; lines go on coming. Cause: a log
     * that waits for its output.
     */
    @Test
    public void aBlockedOutputBlocksNobody() {
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
                time);
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
