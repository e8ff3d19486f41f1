package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Recovery of the log after a crash. */
public class FileDurableLogTest {
    private final ManualScheduler time = new ManualScheduler();
    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("log");
    }

    @AfterMethod
    public void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            files.toList().forEach(file -> file.toFile().delete());
        }
        Files.delete(directory);
    }

    private static DurableLog.Entry entry(String text) {
        return new DurableLog.Entry(text.getBytes(StandardCharsets.UTF_8), Long.MAX_VALUE);
    }

    private List<String> texts(FileDurableLog log) {
        List<String> texts = new ArrayList<>();
        log.replay(each -> texts.add(new String(each.bytes(), StandardCharsets.UTF_8)));
        return texts;
    }

    @Test
    public void restoresRecordsAndState() {
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            log.append(List.of(entry("one"), entry("two"))).join();
            log.saveState("s1".getBytes(StandardCharsets.UTF_8)).join();
            log.saveState("s2".getBytes(StandardCharsets.UTF_8)).join();
        }
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            assertEquals(texts(log), List.of("one", "two"));
            assertEquals(new String(log.state().orElseThrow(), StandardCharsets.UTF_8), "s2");
        }
    }

    /** Guards against reading a torn record as valid, and against losing records that are appended after it. */
    @Test
    public void ignoresTornTailAndReadsLaterRecords() throws IOException {
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            log.append(List.of(entry("one"))).join();
        }
        Path segment = segments().getFirst();
        byte[] torn = RecordFrames.frame("half of a record".getBytes(StandardCharsets.UTF_8))
                .array();
        Files.write(segment, java.util.Arrays.copyOf(torn, torn.length - 3), StandardOpenOption.APPEND);
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            assertEquals(texts(log), List.of("one"));
            log.append(List.of(entry("two"))).join();
        }
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            assertEquals(texts(log), List.of("one", "two"));
        }
    }

    private interface Fault {
        void raise() throws IOException;
    }

    /** A file whose writes fail while a test says so: it takes half of each frame. */
    private SegmentChannel limited(Path file, AtomicBoolean full, Fault fault) throws IOException {
        SegmentChannel channel = SegmentChannel.open(file);
        return new SegmentChannel() {
            @Override
            public void write(ByteBuffer frame) throws IOException {
                if (full.get()) {
                    channel.write(frame.slice(frame.position(), frame.remaining() / 2));
                    fault.raise();
                    return;
                }
                channel.write(frame);
            }

            @Override
            public void force(boolean metadata) throws IOException {
                channel.force(metadata);
            }

            @Override
            public void truncate(long size) throws IOException {
                channel.truncate(size);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    /** Guards against records that are acknowledged behind the half frame of a failed write, where no reader finds them. */
    @Test
    public void recordsAfterFailedWriteAreRead() {
        assertRecordsAfterFailedWriteAreRead(() -> {
            throw new IOException("No space left on device");
        });
    }

    /** Guards against a store that acknowledges no record any more, as an error has ended its disk thread. */
    @Test
    public void recordsAfterErrorAreRead() {
        assertRecordsAfterFailedWriteAreRead(() -> {
            throw new OutOfMemoryError("Cannot reserve direct buffer memory");
        });
    }

    private void assertRecordsAfterFailedWriteAreRead(Fault fault) {
        AtomicBoolean full = new AtomicBoolean();
        try (FileDurableLog log = new FileDurableLog(directory, time, file -> limited(file, full, fault))) {
            log.append(List.of(entry("one"))).join();
            full.set(true);
            assertThrows(
                    CompletionException.class,
                    () -> log.append(List.of(entry("two")))
                            .orTimeout(10, TimeUnit.SECONDS)
                            .join());
            full.set(false);
            log.append(List.of(entry("three"))).orTimeout(10, TimeUnit.SECONDS).join();
        }
        try (FileDurableLog log = new FileDurableLog(directory, time)) {
            assertEquals(texts(log), List.of("one", "three"));
        }
    }

    private List<Path> segments() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(each -> each.toString().endsWith(".log"))
                    .sorted()
                    .toList();
        }
    }
}
