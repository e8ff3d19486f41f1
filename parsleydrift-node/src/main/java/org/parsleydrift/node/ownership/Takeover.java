package org.parsleydrift.node.ownership;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.parsleydrift.journal.JournalReader;
import org.parsleydrift.journal.Seal;
import org.parsleydrift.journal.Segment;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.node.host.JournalReplay;
import org.parsleydrift.node.host.ProgramHost;
import org.parsleydrift.node.membership.JournalShare;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.program.ProgramState;

/**
 * Recovers the programs of failed and drained nodes: seals their journals, adopts the shares assigned to this node, and
 * reassigns shares whose holder has failed before adopting them (docs/design/journal.md). Confined to the node's event
 * loop.
 */
public final class Takeover {
    private static final Logger LOG = System.getLogger(Takeover.class.getName());
    private static final Duration RETRY = Duration.ofMillis(300);

    private final EventLoop loop;
    private final String self;
    private final JournalReader reader;
    private final NodeRegistry registry;
    private final OwnerDirectory directory;
    private final ProgramHost host;
    private final Surroundings surroundings;
    private final Set<String> sealing = new HashSet<>();
    private final Set<ShareId> busy = new HashSet<>();
    private boolean stopped;

    /**
     * Access to the state of the cluster.
     *
     * @param takers supplies the incarnations that accept work
     * @param leads tests whether this node is responsible for a subject
     * @param tellChange notifies the peers that node records changed
     */
    public record Surroundings(Supplier<List<String>> takers, Predicate<String> leads, Runnable tellChange) {}

    /**
     * Creates a takeover that is idle until {@link #seal} or {@link #work} is called.
     *
     * @param loop the node's event loop
     * @param self name of this incarnation
     * @param reader reads and seals journals
     * @param registry the node records
     * @param directory records adopted shares
     * @param host runs the adopted programs
     * @param surroundings state of the cluster
     */
    public Takeover(
            EventLoop loop,
            String self,
            JournalReader reader,
            NodeRegistry registry,
            OwnerDirectory directory,
            ProgramHost host,
            Surroundings surroundings) {
        this.loop = loop;
        this.self = self;
        this.reader = reader;
        this.registry = registry;
        this.directory = directory;
        this.host = host;
        this.surroundings = surroundings;
    }

    /** Stops seals and adoptions; a running adoption no longer resumes its programs. */
    public void stop() {
        stopped = true;
    }

    /**
     * Seals a journal, records the seal in the node record and notifies the peers. Does nothing if a seal of the same
     * journal is in progress.
     *
     * @param incarnation the incarnation that wrote the journal
     * @param successors incarnations that adopt its programs, not empty
     * @return completes when the node record names the seal; fails if the platform does not answer
     */
    public CompletableFuture<Void> seal(String incarnation, List<String> successors) {
        if (stopped || !sealing.add(incarnation)) {
            return CompletableFuture.completedFuture(null);
        }
        return reader.seal(incarnation, new Seal(self, successors))
                .thenComposeAsync(
                        seal -> registry.change(incarnation, record -> record.withSeal(seal))
                                .thenApply(done -> seal),
                        loop)
                .handleAsync(
                        (seal, failure) -> {
                            sealing.remove(incarnation);
                            logSeal(incarnation, seal, failure);
                            if (failure != null) {
                                throw new CompletionException(failure);
                            }
                            surroundings.tellChange().run();
                            return null;
                        },
                        loop);
    }

    private static void logSeal(String journal, Seal seal, Throwable failure) {
        LogLine line =
                LogLine.of(failure == null ? "journal_sealed" : "seal_failed").with("journal", journal);
        if (failure == null) {
            line.with("sealed_by", seal.sealedBy()).with("successors", String.join(",", seal.successors()));
        } else {
            line.failure(failure);
        }
        LOG.log(Logger.Level.WARNING, line.toString());
    }

    /** Adopts, confirms or reassigns the shares of sealed journals that this node is responsible for. */
    public void work() {
        if (stopped) {
            return;
        }
        registry.records().values().stream()
                .filter(record -> record.over() && !record.handedOver())
                .toList()
                .forEach(record -> IntStream.range(0, record.shares().size())
                        .filter(slot -> !record.shares().get(slot).adopted())
                        .forEach(slot -> workOn(record, slot)));
    }

    private void workOn(NodeRecord record, int slot) {
        JournalShare share = record.shares().get(slot);
        ShareId id = new ShareId(record.incarnation(), slot);
        boolean mine = share.holder().equals(self);
        boolean holderGone = registry.find(share.holder()).map(NodeRecord::over).orElse(false);
        if (mine && directory.holds(id)) {
            once(id, () -> confirm(id, share));
        } else if (mine) {
            once(id, () -> adopt(record, id, share));
        } else if (holderGone && surroundings.leads().test(record.incarnation())) {
            once(id, () -> giveOn(id, share));
        }
    }

    /** Runs a task unless one is in progress for the same share, then schedules the next pass over all shares. */
    private void once(ShareId id, Supplier<CompletableFuture<Void>> work) {
        if (!busy.add(id)) {
            return;
        }
        work.get()
                .whenCompleteAsync(
                        (done, failure) -> {
                            busy.remove(id);
                            if (failure != null && !stopped) {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("takeover_failed")
                                                .with("share", id)
                                                .failure(failure)
                                                .toString());
                            }
                            loop.schedule(RETRY, this::work);
                        },
                        loop);
    }

    /**
     * Adopts a share: reads the sealed, hence immutable, journal, writes the states of the share's programs followed by
     * an adoption marker into this node's journal, and resumes the programs once the marker is durable. States without
     * a marker are ignored and their programs have not run, so a holder that fails in between leaves the share
     * unchanged.
     */
    private CompletableFuture<Void> adopt(NodeRecord record, ShareId id, JournalShare share) {
        long begun = loop.clock().nanos();
        return reader.read(id.journal())
                .thenComposeAsync(
                        segments -> {
                            requireSealed(id.journal(), segments);
                            List<ProgramState> states = JournalReplay.of(segments).programs().values().stream()
                                    .filter(state -> record.slot(state.id().toString()) == id.slot())
                                    .sorted(Comparator.comparingLong(ProgramState::startedMillis))
                                    .toList();
                            return stopped
                                    ? CompletableFuture.<List<ProgramState>>completedFuture(List.of())
                                    : host.takeIn(id.toString(), states).thenApply(done -> states);
                        },
                        loop)
                .thenComposeAsync(
                        states -> {
                            if (stopped) {
                                return CompletableFuture.<Void>completedFuture(null);
                            }
                            directory.adopted(id);
                            host.resume(states);
                            LOG.log(
                                    Logger.Level.INFO,
                                    LogLine.of("takeover")
                                            .with("node", self)
                                            .with("share", id)
                                            .with("programs", states.size())
                                            .with("ms", (loop.clock().nanos() - begun) / 1_000_000)
                                            .toString());
                            return confirm(id, share);
                        },
                        loop);
    }

    private CompletableFuture<Void> confirm(ShareId id, JournalShare share) {
        return registry.change(id.journal(), record -> record.withShare(id.slot(), share, new JournalShare(self, true)))
                .thenAcceptAsync(
                        record -> {
                            host.forgetMark(id.toString());
                            deleteIfHandedOver(record);
                        },
                        loop);
    }

    /**
     * Settles a share whose holder has failed. The holder's sealed journal is final: if it contains the adoption
     * marker, the share was adopted there; otherwise none of its programs ran there, and another node becomes the
     * holder.
     */
    private CompletableFuture<Void> giveOn(ShareId id, JournalShare share) {
        List<String> takers = surroundings.takers().get();
        if (takers.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return reader.read(share.holder())
                .thenComposeAsync(
                        segments -> {
                            requireSealed(share.holder(), segments);
                            boolean taken = JournalReplay.of(segments).adopted().contains(id.toString());
                            String next = takers.get(Math.floorMod(id.hashCode(), takers.size()));
                            JournalShare after =
                                    taken ? new JournalShare(share.holder(), true) : new JournalShare(next, false);
                            LOG.log(
                                    Logger.Level.INFO,
                                    LogLine.of("share_reassigned")
                                            .with("share", id)
                                            .with("from", share.holder())
                                            .with("to", after.holder())
                                            .with("adopted", after.adopted())
                                            .toString());
                            return registry.change(id.journal(), record -> record.withShare(id.slot(), share, after));
                        },
                        loop)
                .thenRunAsync(surroundings.tellChange(), loop);
    }

    /**
     * Deletes the segments of a sealed journal that are no longer needed, except its seal. The seal stays so that a VM
     * resumed after a long pause cannot append to the journal and run finished programs again. The adoption markers are
     * needed only while a share of another journal has this incarnation as its holder and is not adopted.
     */
    private void deleteIfHandedOver(NodeRecord record) {
        boolean marksNeeded = registry.records().values().stream()
                .flatMap(other -> other.shares().stream())
                .anyMatch(share -> !share.adopted() && share.holder().equals(record.incarnation()));
        if (!stopped && record.handedOver() && !marksNeeded) {
            reader.deleteAllButSeal(record.incarnation()).exceptionally(failure -> null);
        }
    }

    private static void requireSealed(String journal, List<Segment> segments) {
        if (segments.isEmpty() || !segments.getLast().sealed()) {
            throw new StepException(
                    Step.TAKEOVER,
                    journal,
                    "expected a sealed journal, read " + segments.size() + " segments without a seal");
        }
    }
}
