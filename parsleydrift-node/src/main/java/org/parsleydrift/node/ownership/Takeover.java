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
 * Seals the journals of nodes that are gone, takes in the shares of them that are this node's, and gives shares on whose
 * holder is gone as well (docs/design/journal.md). Confined to the node's loop.
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
     * What a takeover needs to know of the fleet.
     *
     * @param takers incarnations that take work
     * @param leads whether this node is the one to look after a subject
     * @param tellChange tells the others that node records changed
     */
    public record Surroundings(Supplier<List<String>> takers, Predicate<String> leads, Runnable tellChange) {}

    /**
     * Makes a takeover without work.
     *
     * @param loop the node's loop
     * @param self this node's incarnation
     * @param reader reads and seals journals
     * @param registry the node records
     * @param directory who owns what
     * @param host where programs go
     * @param surroundings the fleet
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

    /** Ends all activity. */
    public void stop() {
        stopped = true;
    }

    /**
     * Seals a journal and tells the others. Fails if the platform does not answer; whoever suspects the node tries
     * again.
     *
     * @param incarnation the journal's owner
     * @param successors incarnations that take over, not empty
     * @return completes when the seal is known to all who read the node records
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

    /** Looks at all sealed journals whose shares are not all durable elsewhere, and does what falls to this node. */
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

    /** Runs work on a share unless some is under way; after a failure again in a moment. */
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
     * Takes a share in: reads the sealed journal, which nobody changes any more, writes the states of the share's
     * programs into this node's journal and a mark behind them, and lets the programs go on once the mark is durable.
     * Without the mark nothing of the share counts and nothing of it has run, so that a holder that dies half-way leaves
     * the share as it was.
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
     * Decides about a share whose holder is gone. The holder's journal is final: either the mark stands in it, and the
     * share has been taken in, or nothing of the share ever ran there, and another node takes it.
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
                                    LogLine.of("share_given_on")
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
     * Deletes what a sealed journal no longer need keep, all but its seal: a VM frozen for hours may wake and create the
     * very number at which the seal stands, and go on with programs that others finished long ago. The marks in it are
     * not needed either once no share of another journal waits with it.
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
        if (segments.isEmpty() || !segments.getLast().hasSeal()) {
            throw new StepException(Step.TAKEOVER, journal, "the journal is not sealed");
        }
    }
}
