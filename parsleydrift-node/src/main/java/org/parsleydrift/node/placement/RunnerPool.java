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
 * Places turns on runners, oldest program first. Turns wait in a queue on this node, since engines do not support
 * priorities. Confined to the node's event loop.
 */
public final class RunnerPool {
    private static final Logger LOG = System.getLogger(RunnerPool.class.getName());
    private static final Duration FAILURE_RETRY_DELAY = Duration.ofSeconds(1);
    /** An engine that announced its shutdown may have been restarted by then. */
    private static final Duration LEAVING_RETRY_DELAY = Duration.ofSeconds(5);

    private final NodeEnvironment environment;
    private final Map<String, Runner> runners = new LinkedHashMap<>();
    private final Map<String, List<String>> runnersByModel = new HashMap<>();
    private final List<QueuedTurn> queue = new ArrayList<>();
    private final Map<String, Set<String>> runnersByProgram = new HashMap<>();
    private PlacementPolicy policy = new PlacementPolicy.LeastLoaded();

    /**
     * Creates a pool without runners.
     *
     * @param environment event loop, engine client and metrics
     */
    public RunnerPool(NodeEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Applies the runners, models and placement weights of a manifest.
     *
     * @param manifest the current manifest
     */
    public void configure(Manifest manifest) {
        policy = new PlacementPolicy.CacheAndLoad(
                manifest.weights().programLatency(), manifest.weights().wastedCache());
        runnersByModel.clear();
        Set<String> known = new HashSet<>();
        manifest.models().forEach((model, spec) -> {
            runnersByModel.put(
                    model, spec.runners().stream().map(RunnerSpec::address).toList());
            spec.runners().forEach(runner -> {
                known.add(runner.address());
                runners.computeIfAbsent(runner.address(), any -> new Runner(runner))
                        .setSpec(runner);
            });
        });
        runners.keySet().retainAll(known);
        placeQueuedTurns();
    }

    /**
     * Records whether a runner is leaving. Leaving runners get no new turns. Unknown addresses are ignored.
     *
     * @param address address of the runner
     * @param leaving whether it is leaving
     */
    public void setLeaving(String address, boolean leaving) {
        Runner runner = runners.get(address);
        if (runner == null || runner.isLeaving() == leaving) {
            return;
        }
        runner.setLeaving(leaving);
        LOG.log(
                Logger.Level.INFO,
                LogLine.of(leaving ? "runner_leaving" : "runner_returned")
                        .with("runner", address)
                        .toString());
        placeQueuedTurns();
    }

    /**
     * Returns the addresses of all runners in the manifest.
     *
     * @return a copy
     */
    public List<String> addresses() {
        return List.copyOf(runners.keySet());
    }

    /**
     * Queues a turn and runs it as soon as a runner has a free slot.
     *
     * @param task the turn
     * @return cancels the turn, whether queued or running
     */
    public Cancellable submit(TurnTask task) {
        QueuedTurn queued = new QueuedTurn(task);
        queue.add(queued);
        placeQueuedTurns();
        return () -> cancel(queued);
    }

    /**
     * Releases the engine memory of a program that has ended. Memory left by a failed release is found by the sweeper.
     *
     * @param program id of the program
     */
    public void release(String program) {
        Set<String> addresses = runnersByProgram.remove(program);
        if (addresses == null) {
            return;
        }
        addresses.forEach(address -> {
            Optional.ofNullable(runners.get(address)).ifPresent(runner -> runner.forgetProgram(program));
            environment.engines().release(address, program);
        });
    }

    /**
     * Lists the memory that an engine holds.
     *
     * @param address address of the runner
     * @return the allocations with their owners, on the event loop; fails if the runner does not answer
     */
    public CompletableFuture<List<EngineMemory>> engineMemory(String address) {
        return environment.engines().listMemory(address);
    }

    /**
     * Releases the memory that one engine holds for an owner, regardless of the node that allocated it.
     *
     * @param address address of the runner
     * @param owner the owner tag of the memory
     */
    public void releaseOn(String address, String owner) {
        environment.engines().release(address, owner);
    }

    private void cancel(QueuedTurn queued) {
        queue.remove(queued);
        queued.cancelled = true;
        if (queued.stream != null) {
            queued.stream.cancel();
        }
    }

    private void placeQueuedTurns() {
        queue.sort(Comparator.comparingLong(queued -> queued.task.startedMillis()));
        for (Iterator<QueuedTurn> each = queue.iterator(); each.hasNext(); ) {
            QueuedTurn queued = each.next();
            Optional<Runner> choice = choose(queued.task);
            if (choice.isPresent()) {
                each.remove();
                // Deferred, since a turn that fails synchronously would modify the queue during the iteration.
                choice.get().incrementRunning();
                environment.loop().execute(() -> begin(queued, choice.get()));
            }
        }
    }

    private Optional<Runner> choose(TurnTask task) {
        long now = environment.loop().clock().nanos();
        List<PlacementPolicy.Candidate> candidates = runnersByModel.getOrDefault(task.model(), List.of()).stream()
                .map(runners::get)
                .filter(runner -> runner != null && runner.isUsable(now))
                .map(runner -> new PlacementPolicy.Candidate(
                        runner.address(),
                        runner.running(),
                        runner.spec().slots(),
                        runner.cachedCharacters(task.cacheKey())))
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
                        .with("warm", choice.get().cachedCharacters())
                        .with("candidates", candidates.size())
                        .with("queued", queue.size())
                        .toString());
        return Optional.of(runners.get(choice.get().address()));
    }

    private void begin(QueuedTurn queued, Runner runner) {
        TurnTask task = queued.task;
        if (queued.cancelled) {
            runner.decrementRunning();
            placeQueuedTurns();
            return;
        }
        runnersByProgram.computeIfAbsent(task.program(), any -> new HashSet<>()).add(runner.address());
        CompletableFuture<TurnResult> answer = new CompletableFuture<>();
        TurnRequest request =
                new TurnRequest(task.streamId(), task.program(), task.model(), task.prompt(), task.maxTokens());
        queued.stream = environment
                .engines()
                .runTurn(
                        runner.address(),
                        request,
                        text -> environment.loop().execute(() -> {
                            if (!queued.cancelled) {
                                task.tokens().accept(text);
                            }
                        }),
                        answer);
        answer.whenCompleteAsync((result, failure) -> finish(queued, runner, result, failure), environment.loop());
    }

    private void finish(QueuedTurn queued, Runner runner, TurnResult result, Throwable failure) {
        TurnTask task = queued.task;
        runner.decrementRunning();
        if (failure == null) {
            runner.recordCachedPrompt(
                    task.cacheKey(), task.promptCharacters() + result.text().length());
            environment.meters().counter("parsleydrift.prompt.tokens").increment(result.promptTokens());
            environment.meters().counter("parsleydrift.prompt.cached").increment(result.cachedTokens());
        } else if (!queued.cancelled) {
            handleFailure(runner, failure);
        }
        placeQueuedTurns();
        if (queued.cancelled) {
            return;
        }
        if (failure == null) {
            task.done().complete(result);
        } else {
            task.done().completeExceptionally(failure);
        }
    }

    private void handleFailure(Runner runner, Throwable failure) {
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("turn_failed")
                        .with("runner", runner.address())
                        .failure(failure)
                        .toString());
        if (StepException.unwrap(failure) instanceof CallException exception && exception.isLeaving()) {
            avoid(runner, LEAVING_RETRY_DELAY);
        } else {
            avoid(runner, FAILURE_RETRY_DELAY);
        }
    }

    private void avoid(Runner runner, Duration time) {
        runner.avoidUntil(environment.loop().clock().nanos() + time.toNanos());
        environment.loop().schedule(time.plusMillis(1), this::placeQueuedTurns);
    }

    /**
     * Returns whether a failed turn may have consumed tokens.
     *
     * @param failure the failure
     * @return false only if the turn certainly did not run
     */
    public static boolean mayHaveRun(Throwable failure) {
        return CallException.of(failure) != CallFailure.NOT_RUN;
    }

    /** A turn that is queued or running. */
    private static final class QueuedTurn {
        private final TurnTask task;
        private Cancellable stream;
        private boolean cancelled;

        private QueuedTurn(TurnTask task) {
            this.task = task;
        }
    }
}
