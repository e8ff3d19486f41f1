package org.parsleydrift.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.EngineMemory;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;

/**
 * A stand-in for a model engine: batches turns, caches prompt prefixes in limited memory, knows no priorities. Each
 * token names its program, agent, turn and position, so that a reader can check every one. Confined to its loop.
 */
public final class StandInEngine {
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final String name;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final EngineSpeed speed;
    private final Map<String, Held> memory = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Stream> waiting = new ArrayDeque<>();
    private final Map<String, Integer> activeByOwner = new LinkedHashMap<>();
    private final Map<String, Long> generated = new LinkedHashMap<>();
    private EngineFaults faults = EngineFaults.NONE;
    private int active;
    private boolean dead;
    private long turnsAccepted;

    /**
     * Makes an engine.
     *
     * @param name its address, for errors
     * @param loop the loop that owns its state
     * @param random chance, for faults
     * @param speed how fast it is
     */
    public StandInEngine(String name, EventLoop loop, RandomGenerator random, EngineSpeed speed) {
        this.name = name;
        this.loop = loop;
        this.random = random;
        this.speed = speed;
    }

    /**
     * Switches faults on or off.
     *
     * @param now what is wrong from now on
     */
    public void faults(EngineFaults now) {
        faults = now;
    }

    /** Loses all it holds and breaks all streams, as a restart does. */
    public void crash() {
        memory.clear();
        waiting.clear();
        dead = true;
    }

    /** Comes back after a crash, empty. */
    public void restart() {
        dead = false;
        active = 0;
        activeByOwner.clear();
    }

    /**
     * Turns accepted since the start.
     *
     * @return their number
     */
    public long turnsAccepted() {
        return turnsAccepted;
    }

    /**
     * Tokens generated for each owner since the start, lost ones among them.
     *
     * @return counts by owner
     */
    public Map<String, Long> generated() {
        return generated;
    }

    /**
     * Runs a turn.
     *
     * @param request the turn
     * @param skip characters that the caller has from an earlier connection
     * @param tokens receives the text
     * @param done receives the result
     * @return ends the stream
     */
    public Cancellable turn(
            TurnRequest request, int skip, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
        if (dead) {
            done.completeExceptionally(new CallException(Step.TURN, name, CallFailure.NOT_RUN, false, "no connection"));
            return () -> {};
        }
        if (faults.leaving()) {
            done.completeExceptionally(new CallException(Step.TURN, name, CallFailure.NOT_RUN, true, "leaving"));
            return () -> {};
        }
        turnsAccepted++;
        Stream stream = new Stream(request, skip, tokens, done);
        waiting.add(stream);
        startWaiting();
        return stream::cancel;
    }

    /**
     * Frees what it holds for an owner.
     *
     * @param owner the tag
     */
    public void release(String owner) {
        memory.keySet().removeIf(key -> key.equals(owner) || key.startsWith(owner + "/"));
    }

    /**
     * What it holds.
     *
     * @return its rows
     */
    public List<EngineMemory> memory() {
        Map<String, Integer> byOwner = new LinkedHashMap<>();
        memory.values().forEach(held -> byOwner.merge(held.owner(), held.tokens(), Integer::sum));
        activeByOwner.forEach((owner, count) -> byOwner.merge(owner, 0, Integer::sum));
        return byOwner.entrySet().stream()
                .map(entry -> new EngineMemory(entry.getKey(), entry.getValue()))
                .toList();
    }

    private void startWaiting() {
        while (active < speed.slots() && !waiting.isEmpty()) {
            Stream next = waiting.poll();
            if (!next.ended) {
                next.start();
            }
        }
    }

    private record Held(String owner, int tokens) {}

    /** One turn on the engine. */
    private final class Stream {
        private final TurnRequest request;
        private final int skip;
        private final Consumer<String> tokens;
        private final CompletableFuture<TurnResult> done;
        private final ScriptTurn script;
        private final int limit;
        private final int breakAt;
        private final StringBuilder text = new StringBuilder();
        private int promptTokens;
        private int cachedTokens;
        private int position;
        private boolean started;
        private boolean ended;

        private Stream(TurnRequest request, int skip, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
            this.request = request;
            this.skip = skip;
            this.tokens = tokens;
            this.done = done;
            String input = request.prompt().stream()
                    .filter(part -> part.startsWith("INPUT:"))
                    .findFirst()
                    .orElse("");
            int turn = (int) request.prompt().stream()
                    .filter(part -> part.startsWith("MODEL:"))
                    .count();
            this.script = TurnScript.turn(input, turn);
            this.limit = Math.min(script.tokens(), request.maxTokens());
            this.breakAt = random.nextDouble() < faults.failTurns() ? random.nextInt(limit + 1) : -1;
        }

        private void start() {
            started = true;
            active++;
            activeByOwner.merge(request.owner(), 1, Integer::sum);
            promptTokens = request.prompt().stream().mapToInt(String::length).sum() / CHARACTERS_PER_TOKEN + 1;
            Held held = memory.get(agentKey());
            cachedTokens = held == null ? 0 : Math.min(held.tokens(), promptTokens);
            long prefillMicros = (long) (promptTokens - cachedTokens) * speed.prefillMicrosPerToken();
            loop.schedule(Duration.ofNanos(prefillMicros * 1000), this::next);
        }

        private String agentKey() {
            String[] parts = request.streamId().split("/", -1);
            return request.owner() + "/" + (parts.length > 1 ? parts[1] : "");
        }

        private void next() {
            if (ended || faults.silent()) {
                return;
            }
            if (dead || position == breakAt) {
                end();
                done.completeExceptionally(
                        new CallException(Step.TURN, name, CallFailure.UNKNOWN, false, "stream broke off"));
                return;
            }
            if (position == limit) {
                finish();
                return;
            }
            generated.merge(request.owner(), 1L, Long::sum);
            say(token(position++));
            loop.schedule(Duration.ofNanos(speed.decodeMicrosPerToken() * 1000L), this::next);
        }

        /** Names program key, agent path, turn and position. */
        private String token(int i) {
            String[] parts = request.streamId().split("/", -1);
            String key = parts[0].substring(parts[0].lastIndexOf('~') + 1);
            String path = parts.length > 1 ? parts[1] : "";
            String turn = parts.length > 2 ? parts[2] : "";
            return key + ":" + path + ":" + turn + ":" + i + " ";
        }

        private void say(String token) {
            int before = text.length();
            text.append(token);
            if (text.length() > skip) {
                tokens.accept(text.substring(Math.max(before, skip)));
            }
        }

        private void finish() {
            end();
            memory.put(agentKey(), new Held(request.owner(), promptTokens + limit));
            evict();
            done.complete(new TurnResult(text.toString(), script.actions(), promptTokens, cachedTokens, limit));
        }

        private void evict() {
            int total = memory.values().stream().mapToInt(Held::tokens).sum();
            var eldest = memory.entrySet().iterator();
            while (total > speed.cacheTokens() && eldest.hasNext()) {
                total -= eldest.next().getValue().tokens();
                eldest.remove();
            }
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            if (started) {
                active--;
                activeByOwner.computeIfPresent(request.owner(), (owner, count) -> count == 1 ? null : count - 1);
            }
            startWaiting();
        }

        private void cancel() {
            end();
        }
    }
}
