package org.parsleydrift.bench.drain;

import java.util.ArrayDeque;
import java.util.Deque;
import org.parsleydrift.bench.decisions.VirtualTime;

/** The runners of all nodes, and the queue of the requests that wait for one. */
final class RunnerPool {
    /** Share of the runners that stop when the connection of their request is closed. */
    private static final double DROP_SHARE = 0.8;

    private final VirtualTime time;

    private final DrainTally tally;
    private final int slots;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private int used;

    RunnerPool(VirtualTime time, DrainTally tally, int slots) {
        this.time = time;

        this.tally = tally;
        this.slots = slots;
    }

    boolean isQueueFull() {
        return queue.size() >= 2 * (long) slots;
    }

    void submit(Attempt attempt) {
        queue.addLast(attempt);
        startNext();
    }

    void withdraw(Attempt attempt) {
        queue.remove(attempt);
        attempt.stage = Attempt.Stage.ENDED;
    }

    /** Closes the connection to the runner, which may go on until its time limit. */
    void cancel(Attempt attempt) {
        if (attempt.request.random.nextDouble() < DROP_SHARE) {
            release(attempt);
        }
    }

    private void startNext() {
        while (used < slots && !queue.isEmpty()) {
            Attempt next = queue.pollFirst();
            used++;
            next.stage = Attempt.Stage.RUNNING;
            next.startMillis = time.millis();
            double limit = next.runnerLimitMillis - time.millis();
            boolean completes = next.request.remainingMillis <= limit;
            time.schedule(Math.max(0, Math.min(limit, next.request.remainingMillis)), () -> complete(next, completes));
        }
    }

    private void complete(Attempt attempt, boolean completes) {
        if (attempt.stage != Attempt.Stage.RUNNING) {
            return;
        }
        if (completes && !attempt.responseLost && !attempt.answered) {
            attempt.stage = Attempt.Stage.ENDED;
            used--;
            attempt.node.answer(attempt, Outcome.SUCCESS);
            startNext();
        } else {
            release(attempt);
        }
    }

    private void release(Attempt attempt) {
        attempt.stage = Attempt.Stage.ENDED;
        used--;
        double spent = time.millis() - attempt.startMillis;
        if (attempt.request.counted && !attempt.request.kind.streaming()) {
            tally.wastedMillis += spent;
        }
        startNext();
    }
}
