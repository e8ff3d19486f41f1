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
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final EventLoop loop;
    private final String self;
    private final JournalReader reader;
    private final NodeRegistry registry;
    private final OwnerDirectory directory;
    private final ProgramHost host;
    private final ClusterView cluster;
    private final Set<String> sealing = new HashSet<>();
    private final Set<ShareId> inProgress = new HashSet<>();
    private boolean stopped;

    /**
     * Access to the state of the cluster.
     *
     * @param acceptingNodes supplies the incarnations that accept work
     * @param isResponsibleFor tests whether this node is responsible for a subject
     * @param notifyRegistryChange notifies the peers that node records changed
     */
    public record ClusterView(
            Supplier<List<String>> acceptingNodes, Predicate<String> isResponsibleFor, Runnable notifyRegistryChange) {}

    /**
     * Creates a takeover that is idle until {@link #seal} or {@link #processShares} is called.
     *
     * @param loop the node's event loop
     * @param self name of this incarnation
     * @param reader reads and seals journals
     * @param registry the node records
     * @param directory records adopted shares
     * @param host runs the adopted programs
     * @param cluster state of the cluster
     */
    public Takeover(
            EventLoop loop,
            String self,
            JournalReader reader,
            NodeRegistry registry,
            OwnerDirectory directory,
            ProgramHost host,
            ClusterView cluster) {
        this.loop = loop;
        this.self = self;
        this.reader = reader;
        this.registry = registry;
        this.directory = directory;
        this.host = host;
        this.cluster = cluster;
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
                            cluster.notifyRegistryChange().run();
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
    public void processShares() {
        if (stopped) {
            return;
        }
        registry.records().values().stream()
                .filter(record -> record.hasSealedJournal() && !record.hasAllSharesAdopted())
                .toList()
                .forEach(record -> IntStream.range(0, record.shares().size())
                        .filter(slot -> !record.shares().get(slot).adopted())
                        .forEach(slot -> processShare(record, slot)));
    }

    private void processShare(NodeRecord record, int slot) {
        JournalShare share = record.shares().get(slot);
        ShareId id = new ShareId(record.incarnation(), slot);
        boolean isHolder = share.holder().equals(self);
        boolean holderSealed =
                registry.find(share.holder()).map(NodeRecord::hasSealedJournal).orElse(false);
        if (isHolder && directory.hasAdopted(id)) {
            runUnlessInProgress(id, () -> confirmAdoption(id, share));
        } else if (isHolder) {
            runUnlessInProgress(id, () -> adopt(record, id, share));
        } else if (holderSealed && cluster.isResponsibleFor().test(record.incarnation())) {
            runUnlessInProgress(id, () -> reassign(id, share));
        }
    }

    /** Runs a task unless one is in progress for the same share, then schedules the next pass over all shares. */
    private void runUnlessInProgress(ShareId id, Supplier<CompletableFuture<Void>> task) {
        if (!inProgress.add(id)) {
            return;
        }
        task.get()
                .whenCompleteAsync(
                        (done, failure) -> {
                            inProgress.remove(id);
                            if (failure != null && !stopped) {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("takeover_failed")
                                                .with("share", id)
                                                .failure(failure)
                                                .toString());
                            }
                            loop.schedule(RETRY_DELAY, this::processShares);
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
        long startNanos = loop.clock().nanos();
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
                                    : host.persistShare(id.toString(), states).thenApply(done -> states);
                        },
                        loop)
                .thenComposeAsync(
                        states -> {
                            if (stopped) {
                                return CompletableFuture.<Void>completedFuture(null);
                            }
                            directory.markAdopted(id);
                            host.resume(states);
                            LOG.log(
                                    Logger.Level.INFO,
                                    LogLine.of("takeover")
                                            .with("node", self)
                                            .with("share", id)
                                            .with("programs", states.size())
                                            .with("ms", (loop.clock().nanos() - startNanos) / 1_000_000)
                                            .toString());
                            return confirmAdoption(id, share);
                        },
                        loop);
    }

    private CompletableFuture<Void> confirmAdoption(ShareId id, JournalShare share) {
        return registry.change(id.journal(), record -> record.withShare(id.slot(), share, new JournalShare(self, true)))
                .thenAcceptAsync(
                        record -> {
                            host.removeMarker(id.toString());
                            deleteIfHandedOver(record);
                        },
                        loop);
    }

    /**
     * Settles a share whose holder has failed. The holder's sealed journal is final: if it contains the adoption
     * marker, the share was adopted there; otherwise none of its programs ran there, and another node becomes the
     * holder.
     */
    private CompletableFuture<Void> reassign(ShareId id, JournalShare share) {
        List<String> candidates = cluster.acceptingNodes().get();
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return reader.read(share.holder())
                .thenComposeAsync(
                        segments -> {
                            requireSealed(share.holder(), segments);
                            boolean alreadyAdopted =
                                    JournalReplay.of(segments).adopted().contains(id.toString());
                            String newHolder = candidates.get(Math.floorMod(id.hashCode(), candidates.size()));
                            JournalShare after = alreadyAdopted
                                    ? new JournalShare(share.holder(), true)
                                    : new JournalShare(newHolder, false);
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
                .thenRunAsync(cluster.notifyRegistryChange(), loop);
    }

    /**
     * Deletes the segments of a sealed journal that are no longer needed, except its seal. The seal stays so that a VM
     * resumed after a long pause cannot append to the journal and run finished programs again. The adoption markers are
     * needed only while a share of another journal has this incarnation as its holder and is not adopted.
     */
    private void deleteIfHandedOver(NodeRecord record) {
        boolean markersNeeded = registry.records().values().stream()
                .flatMap(other -> other.shares().stream())
                .anyMatch(share -> !share.adopted() && share.holder().equals(record.incarnation()));
        if (!stopped && record.hasAllSharesAdopted() && !markersNeeded) {
            reader.deleteAllButSeal(record.incarnation()).exceptionally(failure -> null);
        }
    }

    private static void requireSealed(String journal, List<Segment> segments) {
        if (segments.isEmpty() || !segments.getLast().hasSeal()) {
            throw new StepException(
                    Step.TAKEOVER,
                    journal,
                    "expected a sealed journal, read " + segments.size() + " segments without a seal");
        }
    }
}
