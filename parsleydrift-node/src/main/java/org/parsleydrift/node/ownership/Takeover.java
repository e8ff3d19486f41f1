package org.parsleydrift.node.ownership;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.parsleydrift.journal.JournalReader;
import org.parsleydrift.journal.Seal;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.node.host.JournalRecord;
import org.parsleydrift.node.host.JournalReplay;
import org.parsleydrift.node.host.ProgramHost;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;

/**
 * Seals the journals of nodes that are gone and takes in the programs that come to this node
 * (docs/design/journal.md). Confined to the node's loop.
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
    private final Runnable onSealWritten;
    private final Set<String> sealing = new HashSet<>();
    private final Set<String> adopting = new HashSet<>();
    private boolean stopped;

    /**
     * Makes a takeover without work.
     *
     * @param loop the node's loop
     * @param self this node's incarnation
     * @param reader reads and seals journals
     * @param registry the node records
     * @param directory who owns what
     * @param host where programs go
     * @param onSealWritten told after this node sealed a journal
     */
    public Takeover(
            EventLoop loop,
            String self,
            JournalReader reader,
            NodeRegistry registry,
            OwnerDirectory directory,
            ProgramHost host,
            Runnable onSealWritten) {
        this.loop = loop;
        this.self = self;
        this.reader = reader;
        this.registry = registry;
        this.directory = directory;
        this.host = host;
        this.onSealWritten = onSealWritten;
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
        long begun = loop.clock().nanos();
        return reader.seal(incarnation, new Seal(self, successors))
                .thenComposeAsync(
                        seal -> registry.change(incarnation, record -> record.withSeal(seal))
                                .thenApply(done -> seal),
                        loop)
                .handleAsync(
                        (seal, failure) -> {
                            sealing.remove(incarnation);
                            if (failure != null) {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("seal_failed")
                                                .with("journal", incarnation)
                                                .failure(failure)
                                                .toString());
                                throw new java.util.concurrent.CompletionException(failure);
                            }
                            LOG.log(
                                    Logger.Level.WARNING,
                                    LogLine.of("journal_sealed")
                                            .with("journal", incarnation)
                                            .with("sealed_by", seal.sealedBy())
                                            .with("successors", String.join(",", seal.successors()))
                                            .with("ms", (loop.clock().nanos() - begun) / 1_000_000)
                                            .toString());
                            onSealWritten.run();
                            return null;
                        },
                        loop);
    }

    /** Takes in whatever the directory says that this node has still to take in. */
    public void adoptPending() {
        if (!stopped) {
            directory.unadopted().stream().filter(adopting::add).forEach(this::adopt);
        }
    }

    private void adopt(String predecessor) {
        long begun = loop.clock().nanos();
        Set<String> lineage = new TreeSet<>(directory.lineage(predecessor));
        // A program that came to the predecessor from elsewhere is known as ours only by the seals that brought it
        // there. The predecessor knew them; this node may not yet, and would pass the program over for good.
        readAll(lineage)
                .thenComposeAsync(replays -> registry.refreshAnew().thenApply(done -> replays), loop)
                .whenCompleteAsync(
                        (replays, failure) -> {
                            adopting.remove(predecessor);
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                LOG.log(
                                        Logger.Level.WARNING,
                                        LogLine.of("takeover_failed")
                                                .with("journal", predecessor)
                                                .failure(failure)
                                                .toString());
                                loop.schedule(RETRY, this::adoptPending);
                                return;
                            }
                            if (!lineage.containsAll(directory.lineage(predecessor))) {
                                // More seals became known meanwhile. An older journal may have been read without the
                                // one that went on from it: its programs would start again from where they once were.
                                adoptPending();
                                return;
                            }
                            takeIn(predecessor, lineage, replays, begun);
                        },
                        loop);
    }

    private void takeIn(String predecessor, Set<String> lineage, Map<String, JournalReplay> replays, long begun) {
        Set<String> before = Set.copyOf(directory.adoptedBy(predecessor));
        Set<ProgramId> ids = new HashSet<>();
        replays.values().forEach(replay -> ids.addAll(replay.programs().keySet()));
        List<ProgramState> mine = ids.stream()
                .flatMap(id -> latest(id, predecessor, replays, before).stream())
                .sorted(java.util.Comparator.comparingLong(ProgramState::startedMillis))
                .toList();
        lineage.removeAll(before);
        // First known as taken in, then run: a program that goes on at once may ask who owns it.
        directory.adopted(predecessor, lineage);
        mine.forEach(state -> {
            LOG.log(
                    Logger.Level.INFO,
                    LogLine.of("program_adopted")
                            .with("program", state.id())
                            .with("node", self)
                            .with("chain", String.join(">", directory.chain(state.id())))
                            .with("turns", state.usage().turns())
                            .toString());
            host.adopt(state);
        });
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("takeover")
                        .with("node", self)
                        .with("journal", predecessor)
                        .with("lineage", String.join(",", lineage))
                        .with("before", before.size())
                        .with("programs", mine.size())
                        .with("ms", (loop.clock().nanos() - begun) / 1_000_000)
                        .toString());
        lineage.forEach(journal -> host.adopted(new JournalRecord.Adopted(journal, predecessor))
                .thenCompose(done ->
                        registry.change(journal, record -> record.withAdopter(OwnerDirectory.share(self, predecessor))))
                .thenAcceptAsync(record -> deleteIfCovered(journal), loop)
                .exceptionally(failure -> null));
        adoptPending();
    }

    /**
     * The newest state of a program that comes to this node: that of the journal furthest along its chain, unless a
     * later one has taken that journal's share in. A later one that does not hold the program has forgotten it, as it
     * does some time after the program's end; an older journal must not bring it back to life. Nor is anything taken
     * twice from a journal that was read before, when a lineage turns out to be longer than it seemed.
     */
    private Optional<ProgramState> latest(
            ProgramId id, String predecessor, Map<String, JournalReplay> replays, Set<String> before) {
        List<String> chain = directory.chain(id);
        boolean comesThisWay = chain.size() > 1
                && chain.getLast().equals(self)
                && chain.get(chain.size() - 2).equals(predecessor);
        if (!comesThisWay) {
            // What comes by way of another predecessor is judged with the journals of that way, which are not at hand.
            return Optional.empty();
        }
        return IntStream.iterate(chain.size() - 2, i -> i >= 0, i -> i - 1)
                .filter(i -> replays.containsKey(chain.get(i)))
                .filter(i -> replays.get(chain.get(i)).programs().containsKey(id))
                .filter(i -> !heldLater(chain, i, replays))
                .mapToObj(chain::get)
                .findFirst()
                .filter(journal -> !before.contains(journal))
                .map(journal -> replays.get(journal).programs().get(id));
    }

    private boolean heldLater(List<String> chain, int i, Map<String, JournalReplay> replays) {
        return IntStream.range(i + 1, chain.size() - 1).anyMatch(j -> {
            String holder = chain.get(j);
            String via = chain.get(j - 1);
            JournalReplay replay = replays.get(holder);
            return directory.holds(holder, chain.get(i), via)
                    || (replay != null && replay.adopted().contains(new JournalRecord.Adopted(chain.get(i), via)));
        });
    }

    /**
     * Deletes what a sealed journal no longer need keep, all but its seal: a VM frozen for hours may wake and create
     * the very number at which the seal stands, and go on with programs that others finished long ago.
     */
    private void deleteIfCovered(String journal) {
        if (!stopped && directory.covered(journal)) {
            reader.deleteAllButSeal(journal).exceptionally(failure -> null);
        }
    }

    private CompletableFuture<Map<String, JournalReplay>> readAll(Set<String> journals) {
        Map<String, JournalReplay> replays = new HashMap<>();
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (String journal : journals) {
            all = all.thenComposeAsync(done -> reader.read(journal), loop)
                    .thenAcceptAsync(segments -> replays.put(journal, JournalReplay.of(segments)), loop);
        }
        return all.thenApply(done -> replays);
    }
}
