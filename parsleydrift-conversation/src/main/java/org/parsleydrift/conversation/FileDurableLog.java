package org.parsleydrift.conversation;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * Durable log in segment files, written by a single thread. Requests that arrive during a sync share the next one (group
 * commit), so the sync time limits the latency but not the throughput. A segment is deleted once all of its records have
 * expired.
 */
public final class FileDurableLog implements DurableLog {
    private static final Logger LOG = System.getLogger(FileDurableLog.class.getName());
    /** Size at which a new segment is started; limits the disk space held by expired records. */
    private static final long SEGMENT_BYTES = 16L << 20;
    /** Maximum number of requests waiting for the disk; a power of two. */
    private static final int RING_SIZE = 1 << 12;

    private static final int READ_BUFFER_BYTES = 64 << 10;
    /** Expiry of a segment that was not read yet, which must not be deleted. */
    private static final long UNKNOWN_EXPIRY = Long.MAX_VALUE;

    private static final String SEGMENT_SUFFIX = ".log";
    private static final String STATE_FILE = "state";

    private final Path directory;
    private final RuntimeClock clock;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private final Disruptor<Slot> disruptor;
    private final SegmentChannel.Opener opener;
    private SegmentChannel segmentChannel;
    private long syncedBytes;
    private boolean hasUnsyncedTail;
    private long writtenBytes;

    /**
     * Opens the log in a directory.
     *
     * @param directory the directory, created if absent
     * @param clock the wall clock that decides when records have expired
     * @throws StepException if the directory cannot be created, read or written
     */
    public FileDurableLog(Path directory, RuntimeClock clock) {
        this(directory, clock, SegmentChannel::open);
    }

    FileDurableLog(Path directory, RuntimeClock clock, SegmentChannel.Opener opener) {
        this.opener = opener;
        this.directory = directory;
        this.clock = clock;
        try {
            Files.createDirectories(directory);
            findSegments();
            startSegment();
        } catch (IOException fault) {
            throw new StepException(Step.CONFIGURE, directory.toString(), "cannot open data directory: " + fault);
        }
        disruptor = new Disruptor<>(
                Slot::new,
                RING_SIZE,
                task -> {
                    Thread thread = new Thread(task, "disk");
                    thread.setDaemon(true);
                    return thread;
                },
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.handleEventsWith(new DiskWriter());
        disruptor.start();
    }

    @Override
    public void replay(Consumer<Entry> reader) {
        try {
            for (Segment segment : List.copyOf(segments)) {
                replay(segment, reader);
            }
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    /** Reads a segment, ignoring a torn record at its end. */
    private static void replay(Segment segment, Consumer<Entry> reader) throws IOException {
        long size = Files.size(segment.file());
        long[] expiresAtMillis = {0};
        long validBytes;
        try (InputStream in = new BufferedInputStream(Files.newInputStream(segment.file()), READ_BUFFER_BYTES)) {
            validBytes = RecordFrames.read(in, size, frame -> {
                Entry entry = unwrap(frame);
                expiresAtMillis[0] = Math.max(expiresAtMillis[0], entry.expiresAtMillis());
                reader.accept(entry);
            });
        }
        boolean isFirstPass = segment.expiresAtMillis == UNKNOWN_EXPIRY;
        segment.expiresAtMillis = expiresAtMillis[0];
        if (isFirstPass && validBytes < size) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("torn_tail_ignored")
                            .with("file", segment.file().getFileName())
                            .with("bytes", size - validBytes)
                            .toString());
        }
    }

    @Override
    public Optional<byte[]> state() {
        try {
            Path file = directory.resolve(STATE_FILE);
            if (!Files.exists(file)) {
                return Optional.empty();
            }
            List<byte[]> frames = new ArrayList<>();
            try (InputStream in = Files.newInputStream(file)) {
                RecordFrames.read(in, Files.size(file), frames::add);
            }
            return frames.stream().findFirst();
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    @Override
    public CompletableFuture<Void> append(List<Entry> entries) {
        CompletableFuture<Void> durable = new CompletableFuture<>();
        publish(new WriteRequest(entries, null, durable));
        return durable;
    }

    @Override
    public CompletableFuture<Void> saveState(byte[] state) {
        CompletableFuture<Void> durable = new CompletableFuture<>();
        publish(new WriteRequest(List.of(), state, durable));
        return durable;
    }

    @Override
    public void close() {
        disruptor.shutdown();
        try {
            segmentChannel.close();
        } catch (IOException fault) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("log_close_failed").failure(fault).toString());
        }
    }

    private void publish(WriteRequest request) {
        boolean isAccepted = disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.request = request);
        if (!isAccepted) {
            request.durable().completeExceptionally(new StepException(Step.COMMIT, "disk", "disk write queue is full"));
        }
    }

    private void findSegments() throws IOException {
        try (Stream<Path> listed = Files.list(directory)) {
            listed.filter(each -> each.getFileName().toString().endsWith(SEGMENT_SUFFIX))
                    .sorted()
                    .forEach(each -> segments.add(new Segment(each, UNKNOWN_EXPIRY)));
        }
    }

    /** Starts a segment in a new file. Segments written by earlier processes are never appended to. */
    private void startSegment() throws IOException {
        long number = segments.isEmpty() ? 1 : number(segments.getLast().file()) + 1;
        Path file = directory.resolve(String.format("%012d%s", number, SEGMENT_SUFFIX));
        segmentChannel = opener.open(file);
        writtenBytes = 0;
        syncedBytes = 0;
        segmentChannel.force(true);
        syncDirectory();
        segments.add(new Segment(file, 0));
    }

    private static byte[] wrap(Entry entry) {
        return ByteBuffer.allocate(Long.BYTES + entry.bytes().length)
                .putLong(entry.expiresAtMillis())
                .put(entry.bytes())
                .array();
    }

    private static Entry unwrap(byte[] frame) {
        ByteBuffer buffer = ByteBuffer.wrap(frame);
        long expiresAtMillis = buffer.getLong();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return new Entry(bytes, expiresAtMillis);
    }

    private static long number(Path file) {
        String name = file.getFileName().toString();
        return Long.parseLong(name.substring(0, name.length() - SEGMENT_SUFFIX.length()));
    }

    /** Syncs the directory, without which a created, renamed or deleted file does not survive a power loss. */
    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private void write(WriteRequest request) throws IOException {
        if (hasUnsyncedTail) {
            // A reader stops at a torn frame and would not find the frames after it.
            segmentChannel.truncate(syncedBytes);
            writtenBytes = syncedBytes;
            hasUnsyncedTail = false;
        }
        for (Entry entry : request.entries()) {
            ByteBuffer frame = RecordFrames.frame(wrap(entry));
            writtenBytes += frame.remaining();
            while (frame.hasRemaining()) {
                segmentChannel.write(frame);
            }
            segments.getLast().extendExpiry(entry.expiresAtMillis());
        }
        if (request.state() != null) {
            replaceState(request.state());
        }
    }

    private void replaceState(byte[] state) throws IOException {
        Path temporary = directory.resolve(STATE_FILE + ".new");
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer frame = RecordFrames.frame(state);
            while (frame.hasRemaining()) {
                channel.write(frame);
            }
            channel.force(true);
        }
        Files.move(
                temporary,
                directory.resolve(STATE_FILE),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncDirectory();
    }

    private void syncAndRoll() throws IOException {
        segmentChannel.force(false);
        syncedBytes = writtenBytes;
        hasUnsyncedTail = false;
        if (writtenBytes >= SEGMENT_BYTES) {
            segmentChannel.close();
            startSegment();
            deleteExpiredSegments();
        }
    }

    private void deleteExpiredSegments() throws IOException {
        long now = clock.instant().toEpochMilli();
        while (segments.size() > 1 && segments.getFirst().expiresAtMillis < now - DELETION_DELAY.toMillis()) {
            Files.delete(segments.removeFirst().file());
        }
        syncDirectory();
    }

    private record WriteRequest(List<Entry> entries, byte[] state, CompletableFuture<Void> durable) {}

    private static final class Segment {
        private final Path file;
        private long expiresAtMillis;

        private Segment(Path file, long expiresAtMillis) {
            this.file = file;
            this.expiresAtMillis = expiresAtMillis;
        }

        private Path file() {
            return file;
        }

        private void extendExpiry(long millis) {
            expiresAtMillis = Math.max(expiresAtMillis, millis);
        }
    }

    private static final class Slot {
        private WriteRequest request;
    }

    /** Writes the queued requests; runs on the disk thread. */
    private final class DiskWriter implements EventHandler<Slot> {
        private final List<CompletableFuture<Void>> unsynced = new ArrayList<>();

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            WriteRequest request = slot.request;
            slot.request = null;
            unsynced.add(request.durable());
            try {
                write(request);
                if (endOfBatch) {
                    syncAndRoll();
                    unsynced.forEach(each -> each.complete(null));
                    unsynced.clear();
                }
            } catch (IOException | RuntimeException | Error fault) {
                // Any other outcome would end the disk thread, and leave all later writes without an answer.
                LOG.log(
                        Logger.Level.ERROR,
                        LogLine.of("disk_write_failed").failure(fault).toString());
                hasUnsyncedTail = true;
                unsynced.forEach(each -> each.completeExceptionally(fault));
                unsynced.clear();
            }
        }
    }
}
