package org.parsleydrift.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.standin.InMemoryObjectStore;
import org.parsleydrift.standin.PlatformFaults;
import org.testng.annotations.Test;

/**
 * Checks recorded histories of one owner and several sealers against what a journal promises: what was acknowledged is
 * there, once and in order; there is one seal; nothing stands behind it. The loops take turns on virtual time, so a
 * checker of thread interleavings has nothing to reach here; chance picks the interleaving instead.
 */
public class JournalHistoryTest {
    private static final int RUNS = 200;
    private static final JournalOptions OPTIONS =
            new JournalOptions(Duration.ofMillis(10), Duration.ofMillis(200), Duration.ofMillis(20), 700 * 1024);

    /**
     * Symptom: a record is acknowledged and gone after a takeover, or stands twice. Events: answers of the platform are
     * lost after creates took effect, the owner pauses, two nodes seal at one moment. Cause: an owner that goes on
     * behind a seal, or takes a lost answer for a failure.
     */
    @Test
    public void acknowledgedRecordsAreThereOnceAndInOrder() {
        IntStream.range(0, RUNS).forEach(this::checkRun);
    }

    private void checkRun(int seed) {
        ManualScheduler scheduler = new ManualScheduler();
        SplittableRandom random = new SplittableRandom(seed);
        InMemoryObjectStore store = new InMemoryObjectStore(scheduler.newLoop(), random.split(), Duration.ofMillis(3));
        store.faults(new PlatformFaults(false, 0, 0.3, false, 0));
        ManualEventLoop owner = scheduler.newLoop();
        List<String> acknowledged = new ArrayList<>();
        JournalWriter writer = new JournalWriter(owner, store, "j", OPTIONS, fenced -> {});
        IntStream.range(0, 60)
                .forEach(i -> owner.schedule(Duration.ofMillis(random.nextInt(600)), () -> {
                    String record = "r" + i;
                    writer.append(record.getBytes(StandardCharsets.UTF_8))
                            .durable()
                            .thenRun(() -> acknowledged.add(record));
                }));
        List<Seal> seals = new ArrayList<>();
        IntStream.range(0, 2).forEach(n -> seal(scheduler, store, random, "s" + n, seals));
        if (random.nextBoolean()) {
            scheduler.advance(Duration.ofMillis(random.nextInt(300)));
            owner.pause();
            scheduler.advance(Duration.ofMillis(random.nextInt(400)));
            owner.resume();
        }
        scheduler.advance(Duration.ofSeconds(20));
        store.faults(PlatformFaults.NONE);
        var read = new JournalReader(scheduler.newLoop(), store, OPTIONS).read("j");
        scheduler.advance(Duration.ofSeconds(2));
        List<Segment> segments = read.join();
        List<String> there = segments.stream()
                .flatMap(segment -> segment.records().stream())
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .toList();
        String run = "seed " + seed;
        assertEquals(there.stream().distinct().count(), there.size(), run);
        assertTrue(there.containsAll(acknowledged), run);
        assertEquals(there.stream().filter(acknowledged::contains).toList(), acknowledged, run);
        assertEquals(segments.stream().filter(Segment::hasSeal).count(), 1, run);
        assertTrue(segments.getLast().hasSeal(), run);
        assertEquals(seals.stream().distinct().count(), 1, run);
    }

    private static void seal(
            ManualScheduler scheduler,
            InMemoryObjectStore store,
            SplittableRandom random,
            String name,
            List<Seal> seals) {
        ManualEventLoop loop = scheduler.newLoop();
        JournalReader reader = new JournalReader(loop, store, OPTIONS);
        loop.schedule(Duration.ofMillis(200 + random.nextInt(200)), () -> trySeal(loop, reader, name, seals));
    }

    private static void trySeal(ManualEventLoop loop, JournalReader reader, String name, List<Seal> seals) {
        reader.seal("j", new Seal(name, List.of(name))).whenComplete((seal, failure) -> {
            if (failure == null) {
                seals.add(seal);
            } else {
                loop.schedule(Duration.ofMillis(100), () -> trySeal(loop, reader, name, seals));
            }
        });
    }
}
