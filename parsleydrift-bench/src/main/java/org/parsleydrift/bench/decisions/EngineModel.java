package org.parsleydrift.bench.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntConsumer;
import org.parsleydrift.placement.PromptPart;

/** A model of an inference engine with continuous batching, chunked prefill and an LRU cache of prompt parts. */
final class EngineModel {
    private final EngineParameters parameters;
    private final VirtualTime time;
    private final DoubleUnaryOperator slowdownFactor;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<String, Integer> cachedTokens = new LinkedHashMap<>(16, 0.75f, true);
    private boolean stepping;
    private long prefillTokens;

    /** A request queued or running on an engine. */
    static final class Run {
        private final List<PromptPart> prompt;
        private final int output;
        private final IntConsumer onToken;
        private final Runnable done;
        private int pendingPrefillTokens;
        private int generatedTokens;
        private double firstTokenMillis;
        private double lastTokenMillis;

        Run(List<PromptPart> prompt, int output, IntConsumer onToken, Runnable done) {
            this.onToken = onToken;
            this.prompt = List.copyOf(prompt);
            this.output = output;
            this.done = done;
        }

        /** Returns the mean time between tokens in ms, or 0 for fewer than two tokens. */
        double millisPerToken() {
            return generatedTokens < 2 ? 0 : (lastTokenMillis - firstTokenMillis) / (generatedTokens - 1);
        }

        private int context() {
            return prompt.stream().mapToInt(PromptPart::tokens).sum() + generatedTokens;
        }
    }

    EngineModel(EngineParameters parameters, VirtualTime time, DoubleUnaryOperator slowdownFactor) {
        this.parameters = parameters;
        this.time = time;
        this.slowdownFactor = slowdownFactor;
    }

    void submit(Run run) {
        queue.addLast(run);
        if (!stepping) {
            startStep();
        }
    }

    long prefillTokens() {
        return prefillTokens;
    }

    private void startStep() {
        while (running.size() < parameters.slots() && !queue.isEmpty()) {
            Run next = queue.pollFirst();
            next.pendingPrefillTokens = uncachedTokens(next.prompt);
            prefillTokens += next.pendingPrefillTokens;
            running.add(next);
        }
        stepping = !running.isEmpty();
        if (!stepping) {
            return;
        }
        int reads = prefillChunk();
        double context = running.stream().mapToInt(Run::context).sum() / 1000.0;
        double millis = parameters.stepMillis()
                + parameters.stepMillisPerRequest() * running.size()
                + parameters.stepMillisPerThousandTokens() * context
                + reads / parameters.prefillTokensPerMilli();
        time.schedule(millis * slowdownFactor.applyAsDouble(time.millis()), this::completeStep);
    }

    private int prefillChunk() {
        int left = parameters.prefillChunkTokens();
        for (Run run : running) {
            int taken = Math.min(left, run.pendingPrefillTokens);
            run.pendingPrefillTokens -= taken;
            left -= taken;
        }
        return parameters.prefillChunkTokens() - left;
    }

    private void completeStep() {
        List<Run> ended = new ArrayList<>();
        for (Iterator<Run> each = running.iterator(); each.hasNext(); ) {
            Run run = each.next();
            if (run.pendingPrefillTokens > 0) {
                continue;
            }
            run.generatedTokens++;
            run.onToken.accept(run.generatedTokens);
            run.lastTokenMillis = time.millis();
            run.firstTokenMillis = run.generatedTokens == 1 ? time.millis() : run.firstTokenMillis;
            if (run.generatedTokens >= run.output) {
                each.remove();
                cachePrompt(run);
                ended.add(run);
            }
        }
        startStep();
        ended.forEach(run -> run.done.run());
    }

    private int uncachedTokens(List<PromptPart> prompt) {
        int missing = 0;
        boolean isPrefixCached = true;
        for (PromptPart part : prompt) {
            int held = isPrefixCached ? Math.min(part.tokens(), cachedTokens.getOrDefault(part.id(), 0)) : 0;
            missing += part.tokens() - held;
            isPrefixCached &= held == part.tokens();
        }
        return missing;
    }

    private void cachePrompt(Run run) {
        run.prompt.forEach(part -> cachedTokens.merge(part.id(), part.tokens(), Math::max));
        PromptPart lastPart = run.prompt.getLast();
        cachedTokens.put(lastPart.id(), lastPart.tokens() + run.generatedTokens);
        int used = running.stream().mapToInt(Run::context).sum();
        int room = parameters.cacheTokens() - used;
        int held = cachedTokens.values().stream().mapToInt(Integer::intValue).sum();
        for (Iterator<Integer> oldest = cachedTokens.values().iterator(); held > room && oldest.hasNext(); ) {
            held -= oldest.next();
            oldest.remove();
        }
    }
}
