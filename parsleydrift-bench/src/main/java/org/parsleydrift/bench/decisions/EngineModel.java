package org.parsleydrift.bench.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import org.parsleydrift.placement.PromptPart;

/** A model engine: batched steps, prompts read in chunks between them, a memory of parts that gives way by last use. */
final class EngineModel {
    private final EngineFigures figures;
    private final VirtualTime time;
    private final DoubleUnaryOperator slowness;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private boolean stepping;
    private long tokensRead;

    /** One request at an engine. */
    static final class Run {
        private final List<PromptPart> prompt;
        private final int output;
        private final Runnable done;
        private int toRead;
        private int made;
        private double firstTokenMillis;
        private double lastTokenMillis;

        Run(List<PromptPart> prompt, int output, Runnable done) {
            this.prompt = List.copyOf(prompt);
            this.output = output;
            this.done = done;
        }

        /** Mean time between tokens, ms; 0 for less than two. */
        double millisPerToken() {
            return made < 2 ? 0 : (lastTokenMillis - firstTokenMillis) / (made - 1);
        }

        private int context() {
            return prompt.stream().mapToInt(PromptPart::tokens).sum() + made;
        }
    }

    EngineModel(EngineFigures figures, VirtualTime time, DoubleUnaryOperator slowness) {
        this.figures = figures;
        this.time = time;
        this.slowness = slowness;
    }

    void submit(Run run) {
        queue.addLast(run);
        if (!stepping) {
            step();
        }
    }

    long tokensRead() {
        return tokensRead;
    }

    private void step() {
        while (running.size() < figures.slots() && !queue.isEmpty()) {
            Run next = queue.pollFirst();
            next.toRead = missing(next.prompt);
            tokensRead += next.toRead;
            running.add(next);
        }
        stepping = !running.isEmpty();
        if (!stepping) {
            return;
        }
        int reads = readChunk();
        double context = running.stream().mapToInt(Run::context).sum() / 1000.0;
        double millis = figures.stepMillis()
                + figures.stepMillisPerRequest() * running.size()
                + figures.stepMillisPerThousandTokens() * context
                + reads / figures.readTokensPerMilli();
        time.after(millis * slowness.applyAsDouble(time.millis()), this::stepped);
    }

    private int readChunk() {
        int left = figures.chunkTokens();
        for (Run run : running) {
            int taken = Math.min(left, run.toRead);
            run.toRead -= taken;
            left -= taken;
        }
        return figures.chunkTokens() - left;
    }

    private void stepped() {
        List<Run> ended = new ArrayList<>();
        for (Iterator<Run> each = running.iterator(); each.hasNext(); ) {
            Run run = each.next();
            if (run.toRead > 0) {
                continue;
            }
            run.made++;
            run.lastTokenMillis = time.millis();
            run.firstTokenMillis = run.made == 1 ? time.millis() : run.firstTokenMillis;
            if (run.made >= run.output) {
                each.remove();
                keep(run);
                ended.add(run);
            }
        }
        step();
        ended.forEach(run -> run.done.run());
    }

    private int missing(List<PromptPart> prompt) {
        int missing = 0;
        boolean whole = true;
        for (PromptPart part : prompt) {
            int held = whole ? Math.min(part.tokens(), parts.getOrDefault(part.id(), 0)) : 0;
            missing += part.tokens() - held;
            whole &= held == part.tokens();
        }
        return missing;
    }

    private void keep(Run run) {
        run.prompt.forEach(part -> parts.merge(part.id(), part.tokens(), Math::max));
        PromptPart line = run.prompt.getLast();
        parts.put(line.id(), line.tokens() + run.made);
        int used = running.stream().mapToInt(Run::context).sum();
        int room = figures.memoryTokens() - used;
        int held = parts.values().stream().mapToInt(Integer::intValue).sum();
        for (Iterator<Integer> oldest = parts.values().iterator(); held > room && oldest.hasNext(); ) {
            held -= oldest.next();
            oldest.remove();
        }
    }
}
