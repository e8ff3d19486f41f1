package org.parsleydrift.node.placement;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.EngineMemory;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;
import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.RunnerSpec;
import org.parsleydrift.node.NodeEnvironment;

/**
 * Places turns on runners: a queue of this node's own before them, since engines know no priorities. Confined to the
 * node's loop.
 */
public final class RunnerPool {
    private static final Logger LOG = System.getLogger(RunnerPool.class.getName());
    private static final Duration AVOID_AFTER_FAILURE = Duration.ofSeconds(1);
    /** An engine that says itself that it is leaving may have been restarted; after this time it is tried again. */
    private static final Duration BELIEVE_REFUSAL = Duration.ofSeconds(5);

    private final NodeEnvironment environment;
    private final Map<String, Runner> runners = new LinkedHashMap<>();
    private final Map<String, List<String>> models = new HashMap<>();
    private final List<Waiting> queue = new ArrayList<>();
    private final Map<String, Set<String>> usedBy = new HashMap<>();
    private PlacementPolicy policy = new PlacementPolicy.LeastLoaded();

    /**
     * Makes an empty pool.
     *
     * @param environment the outside
     */
    public RunnerPool(NodeEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Takes the runners and weights of a manifest.
     *
     * @param manifest the manifest now in force
     */
    public void configure(Manifest manifest) {
        policy = new PlacementPolicy.WarmthAndLoad(
                manifest.weights().programLatency(), manifest.weights().wastedCache());
        models.clear();
        Set<String> known = new HashSet<>();
        manifest.models().forEach((model, spec) -> {
            models.put(model, spec.runners().stream().map(RunnerSpec::address).toList());
            spec.runners().forEach(runner -> {
                known.add(runner.address());
                runners.computeIfAbsent(runner.address(), any -> new Runner(runner))
                        .spec(runner);
            });
        });
        runners.keySet().retainAll(known);
        place();
    }

    /**
     * Notes that a runner is leaving, or is not.
     *
     * @param address the runner
     * @param leaving whether it is leaving
     */
    public void leaving(String address, boolean leaving) {
        Runner runner = runners.get(address);
        if (runner == null || runner.leaving() == leaving) {
            return;
        }
        runner.leaving(leaving);
        LOG.log(
                Logger.Level.INFO,
                LogLine.of(leaving ? "runner_leaving" : "runner_back")
                        .with("runner", address)
                        .toString());
        place();
    }

    /**
     * The runners that are known.
     *
     * @return their addresses
     */
    public List<String> addresses() {
        return List.copyOf(runners.keySet());
    }

    /**
     * Runs a turn as soon as a runner has a place for it.
     *
     * @param task the turn
     * @return cancels it, in the queue or on its engine
     */
    public Cancellable submit(TurnTask task) {
        Waiting waiting = new Waiting(task);
        queue.add(waiting);
        place();
        return () -> cancel(waiting);
    }

    /**
     * Frees what engines hold for a program that is over. Failures are mended by the sweep.
     *
     * @param program the program's id
     */
    public void release(String program) {
        Set<String> addresses = usedBy.remove(program);
        if (addresses == null) {
            return;
        }
        addresses.forEach(address -> {
            Optional.ofNullable(runners.get(address)).ifPresent(runner -> runner.cooled(program));
            environment.engines().release(address, program);
        });
    }

    /**
     * Reads what an engine holds.
     *
     * @param address the runner
     * @return its rows, completed on the node's loop
     */
    public CompletableFuture<List<EngineMemory>> memory(String address) {
        return environment.engines().listMemory(address);
    }

    /**
     * Frees what one engine holds for an owner, whoever put it there.
     *
     * @param address the runner
     * @param owner the tag on the memory
     */
    public void releaseAt(String address, String owner) {
        environment.engines().release(address, owner);
    }

    private void cancel(Waiting waiting) {
        queue.remove(waiting);
        waiting.cancelled = true;
        if (waiting.stream != null) {
            waiting.stream.cancel();
        }
    }

    private void place() {
        queue.sort(Comparator.comparingLong(waiting -> waiting.task.startedMillis()));
        for (Iterator<Waiting> each = queue.iterator(); each.hasNext(); ) {
            Waiting waiting = each.next();
            Optional<Runner> choice = choose(waiting.task);
            if (choice.isPresent()) {
                each.remove();
                // Not now but next on the loop: an engine that fails at once would change the queue while it is read.
                choice.get().began();
                environment.loop().execute(() -> begin(waiting, choice.get()));
            }
        }
    }

    private Optional<Runner> choose(TurnTask task) {
        long now = environment.loop().clock().nanos();
        List<PlacementPolicy.Candidate> candidates = models.getOrDefault(task.model(), List.of()).stream()
                .map(runners::get)
                .filter(runner -> runner != null && runner.usable(now))
                .map(runner -> new PlacementPolicy.Candidate(
                        runner.address(),
                        runner.running(),
                        runner.spec().slots(),
                        runner.warmCharacters(task.warmKey())))
                .toList();
        int length = task.promptCharacters();
        Optional<PlacementPolicy.Candidate> choice = policy.choose(length, candidates);
        if (choice.isEmpty() || choice.get().running() >= choice.get().slots()) {
            return Optional.empty();
        }
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("placement")
                        .with("program", task.program())
                        .with("agent", task.path())
                        .with("turn", task.turn())
                        .with("runner", choice.get().address())
                        .with("running", choice.get().running())
                        .with("prompt", length)
                        .with("warm", choice.get().warmCharacters())
                        .with("candidates", candidates.size())
                        .with("queued", queue.size())
                        .toString());
        return Optional.of(runners.get(choice.get().address()));
    }

    private void begin(Waiting waiting, Runner runner) {
        TurnTask task = waiting.task;
        if (waiting.cancelled) {
            runner.ended();
            place();
            return;
        }
        usedBy.computeIfAbsent(task.program(), any -> new HashSet<>()).add(runner.address());
        CompletableFuture<TurnResult> answer = new CompletableFuture<>();
        TurnRequest request =
                new TurnRequest(task.streamId(), task.program(), task.model(), task.prompt(), task.maxTokens());
        waiting.stream = environment
                .engines()
                .runTurn(
                        runner.address(),
                        request,
                        text -> environment.loop().execute(() -> {
                            if (!waiting.cancelled) {
                                task.tokens().accept(text);
                            }
                        }),
                        answer);
        answer.whenCompleteAsync((result, failure) -> finish(waiting, runner, result, failure), environment.loop());
    }

    private void finish(Waiting waiting, Runner runner, TurnResult result, Throwable failure) {
        TurnTask task = waiting.task;
        runner.ended();
        if (failure == null) {
            runner.warmed(
                    task.warmKey(), task.promptCharacters() + result.text().length());
            environment.meters().counter("parsleydrift.prompt.tokens").increment(result.promptTokens());
            environment.meters().counter("parsleydrift.prompt.cached").increment(result.cachedTokens());
        } else if (!waiting.cancelled) {
            noteFailure(runner, failure);
        }
        place();
        if (waiting.cancelled) {
            return;
        }
        if (failure == null) {
            task.done().complete(result);
        } else {
            task.done().completeExceptionally(failure);
        }
    }

    private void noteFailure(Runner runner, Throwable failure) {
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("turn_failed")
                        .with("runner", runner.address())
                        .failure(failure)
                        .toString());
        if (StepException.unwrap(failure) instanceof CallException known && known.isLeaving()) {
            avoid(runner, BELIEVE_REFUSAL);
        } else {
            avoid(runner, AVOID_AFTER_FAILURE);
        }
    }

    private void avoid(Runner runner, Duration time) {
        runner.avoidUntil(environment.loop().clock().nanos() + time.toNanos());
        environment.loop().schedule(time.plusMillis(1), this::place);
    }

    /**
     * Whether a failed turn can have cost tokens.
     *
     * @param failure what it failed with
     * @return false only if the engine says that it did not run
     */
    public static boolean mayHaveRun(Throwable failure) {
        return CallException.of(failure) != CallFailure.NOT_RUN;
    }

    /** A turn in the queue or on an engine. */
    private static final class Waiting {
        private final TurnTask task;
        private Cancellable stream;
        private boolean cancelled;

        private Waiting(TurnTask task) {
            this.task = task;
        }
    }
}
