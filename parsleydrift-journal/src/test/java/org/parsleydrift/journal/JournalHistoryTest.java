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
 * Checks random histories of one owner and several sealing nodes against the guarantees of a journal: acknowledged
 * records are stored exactly once and in order, and the journal ends with its only seal.
 */
public class JournalHistoryTest {
    private static final int RUNS = 200;
    private static final JournalOptions OPTIONS =
            new JournalOptions(Duration.ofMillis(10), Duration.ofMillis(200), Duration.ofMillis(20), 700 * 1024);

    /**
     * Guards against acknowledged records that are lost or duplicated when responses are lost, the owner is paused and
     * two nodes seal the journal concurrently.
     */
    @Test
    public void acknowledgedRecordsAreStoredOnceAndInOrder() {
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
        List<String> stored = segments.stream()
                .flatMap(segment -> segment.records().stream())
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .toList();
        String message = "seed " + seed;
        assertEquals(stored.stream().distinct().count(), stored.size(), message);
        assertTrue(stored.containsAll(acknowledged), message);
        assertEquals(stored.stream().filter(acknowledged::contains).toList(), acknowledged, message);
        assertEquals(segments.stream().filter(Segment::hasSeal).count(), 1, message);
        assertTrue(segments.getLast().hasSeal(), message);
        assertEquals(seals.stream().distinct().count(), 1, message);
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
