package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * Reads the texts of a chain, of which the first read brings only the latest turns, and assembles the chain. The rest is
 * read in pages that are bounded by bytes, one after another, so that no reply grows with the length of the chain. Turns
 * are immutable, so that any member may send them, whatever its epoch.
 */
final class ChainReader {
    private static final System.Logger LOG = System.getLogger(ChainReader.class.getName());
    /** Maximum number of turns per page. */
    private static final int MAX_PAGE_TURNS = 256;

    private final ConversationClient client;
    private final ConversationClient.MergedRecords records;
    private final ChainMemory.Reservation reservation;
    private final Duration timeout;
    private final Deque<Turn> chain = new ArrayDeque<>();
    private final CompletableFuture<List<Turn>> result = new CompletableFuture<>();
    /** Positions in the known order of the chain by turn ID. */
    private final Map<String, Integer> positions;

    private final long startNanos;
    private String nextId;
    private int pages = 1;

    /**
     * Creates a reader.
     *
     * @param client reads from the store VMs
     * @param records the replies to the first read, to which the turns of further pages are added
     * @param reservation receives the size of the chain
     * @param timeout how long to retry while no page arrives
     */
    ChainReader(
            ConversationClient client,
            ConversationClient.MergedRecords records,
            ChainMemory.Reservation reservation,
            Duration timeout) {
        this.client = client;
        this.records = records;
        this.reservation = reservation;
        this.timeout = timeout;
        this.startNanos = client.nanos();
        this.positions = IntStream.range(0, records.chainIds().size())
                .boxed()
                .collect(Collectors.toMap(records.chainIds()::get, each -> each, (one, two) -> one));
    }

    /**
     * Reads the chain.
     *
     * @param lastTurn the ID of its last turn; empty for an empty chain
     * @return completes with the turns, oldest first; fails with StepException if a turn is not found, if no page arrives
     *     within the timeout, or if there is no memory for the chain
     */
    CompletableFuture<List<Turn>> read(String lastTurn) {
        nextId = lastTurn;
        long knownBytes =
                records.chainBytes().stream().mapToLong(Integer::longValue).sum();
        if (!reservation.extendTo(knownBytes)) {
            failForLackOfMemory(knownBytes);
            return result;
        }
        assemble();
        return result;
    }

    private void assemble() {
        while (!nextId.isEmpty()) {
            Turn turn = records.turns().get(nextId);
            if (turn == null) {
                readPage();
                return;
            }
            chain.addFirst(turn);
            nextId = turn.previous();
        }
        if (pages > 1) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    () -> LogLine.of("chain_read")
                            .with("turns", chain.size())
                            .with("bytes", assembledBytes())
                            .with("pages", pages)
                            .with(
                                    "ms",
                                    Duration.ofNanos(client.nanos() - startNanos)
                                            .toMillis())
                            .toString());
        }
        result.complete(List.copyOf(chain));
    }

    private void readPage() {
        pages++;
        List<String> ids = nextIds();
        client.fetchPage(ids, expectedBytes(ids)).whenComplete((found, failure) -> {
            if (failure == null && found.isPresent()) {
                addPage(found.get().turns(), found.get().turnPrograms());
            } else {
                readFromAll();
            }
        });
    }

    /** Reads a turn and those before it from all members, since no single one has sent it. */
    private void readFromAll() {
        client.readFromAll("", nextId, timeout).whenComplete((found, failure) -> {
            if (failure != null) {
                result.completeExceptionally(failure);
            } else if (!found.turns().containsKey(nextId)) {
                result.completeExceptionally(new StepException(
                        Step.COMMIT, "stores", "turn " + nextId + " of the chain was not found at a read quorum"));
            } else {
                records.turnPrograms().putAll(found.turnPrograms());
                addTurns(List.copyOf(found.turns().values()));
            }
        });
    }

    private void addPage(List<Turn> turns, List<String> programs) {
        IntStream.range(0, Math.min(turns.size(), programs.size()))
                .forEach(each -> records.turnPrograms().put(turns.get(each).id(), programs.get(each)));
        addTurns(turns);
    }

    private void addTurns(List<Turn> turns) {
        turns.forEach(each -> records.turns().put(each.id(), each));
        long readBytes =
                records.turns().values().stream().mapToLong(Turn::textBytes).sum();
        if (reservation.extendTo(readBytes)) {
            assemble();
        } else {
            failForLackOfMemory(readBytes);
        }
    }

    private void failForLackOfMemory(long bytes) {
        result.completeExceptionally(new StepException(
                Step.COMMIT, "self", "no memory for a chain of " + bytes + " bytes beside those of other turns"));
    }

    /** Returns the IDs of the next turns as far as they are known, at least that of the next one. */
    private List<String> nextIds() {
        return Optional.ofNullable(positions.get(nextId))
                .map(position -> records.chainIds().stream()
                        .skip(position)
                        .filter(id -> !records.turns().containsKey(id))
                        .limit(MAX_PAGE_TURNS)
                        .toList())
                .orElseGet(() -> List.of(nextId));
    }

    /** Returns the known size of the reply to a page, which is that of its first turn if this one is larger than a page. */
    private int expectedBytes(List<String> ids) {
        return Optional.ofNullable(positions.get(ids.getFirst()))
                .filter(position -> position < records.chainBytes().size())
                .map(records.chainBytes()::get)
                .map(bytes -> Math.max(bytes, ReplicaRequest.PAGE_BYTES))
                .orElse(ReplicaRequest.PAGE_BYTES);
    }

    private long assembledBytes() {
        return chain.stream().mapToLong(Turn::textBytes).sum();
    }
}
