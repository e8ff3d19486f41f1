package org.parsleydrift.standin;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.CallRequest;

/**
 * A stand-in for tools and plain services. It does not remove repeats: it counts how often each call ran, so that a
 * doubled effect shows. Confined to its loop.
 */
public final class StandInTool {
    private final String name;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Duration latency;
    private final Map<String, Integer> effects = new LinkedHashMap<>();
    private final Map<String, Long> firstNanos = new LinkedHashMap<>();
    private ToolFaults faults = ToolFaults.NONE;
    private long nextNumber = 1000;

    /**
     * Makes a tool.
     *
     * @param name its address, for errors
     * @param loop the loop that owns its state
     * @param random chance, for faults
     * @param latency how long a call takes
     */
    public StandInTool(String name, EventLoop loop, RandomGenerator random, Duration latency) {
        this.name = name;
        this.loop = loop;
        this.random = random;
        this.latency = latency;
    }

    /**
     * Switches faults on or off.
     *
     * @param now what is wrong from now on
     */
    public void faults(ToolFaults now) {
        faults = now;
    }

    /**
     * How often each call ran.
     *
     * @return counts by call id and operation
     */
    public Map<String, Integer> effects() {
        return Map.copyOf(effects);
    }

    /**
     * When each call first ran, on the loop's clock.
     *
     * @return nanoseconds by call id and operation
     */
    public Map<String, Long> firstNanos() {
        return Map.copyOf(firstNanos);
    }

    /**
     * Serves a call.
     *
     * @param request the call
     * @return its answer; never completes if the call hangs or its answer is lost
     */
    public CompletableFuture<String> call(CallRequest request) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        if (faults.leaving()) {
            answer.completeExceptionally(new CallException(Step.CALL, name, CallFailure.NOT_RUN, true, "leaving"));
            return answer;
        }
        if (faults.hang()) {
            return answer;
        }
        loop.schedule(latency, () -> {
            String effect = request.callId() + " " + request.operation();
            effects.merge(effect, 1, Integer::sum);
            firstNanos.putIfAbsent(effect, loop.clock().nanos());
            String text = "{\"operation\":\"" + request.operation() + "\",\"number\":" + nextNumber++ + ",\"call\":\""
                    + request.callId() + "\"}";
            if (random.nextDouble() >= faults.loseAnswers()) {
                answer.complete(text);
            }
        });
        return answer;
    }
}
