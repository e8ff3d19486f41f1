package org.parsleydrift.node;

import java.lang.System.Logger;
import java.time.Duration;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.node.caller.CallerGateway;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.placement.RunnerPool;
import org.parsleydrift.program.ProgramId;

/**
 * Releases engine memory that a failed node left behind. For each runner, one responsible node compares the engine's
 * allocations with the existing programs and releases the orphaned ones. Confined to the node's event loop.
 */
final class EngineMemorySweeper {
    private static final Logger LOG = System.getLogger(EngineMemorySweeper.class.getName());
    private static final Duration PERIOD = Duration.ofSeconds(5);

    private final NodeEnvironment environment;
    private final Node node;
    private final RunnerPool runners;
    private final CallerGateway gateway;

    EngineMemorySweeper(NodeEnvironment environment, Node node, RunnerPool runners, CallerGateway gateway) {
        this.environment = environment;
        this.node = node;
        this.runners = runners;
        this.gateway = gateway;
        environment.loop().scheduleWithFixedDelay(PERIOD, this::sweepAll);
    }

    private void sweepAll() {
        runners.addresses().stream().filter(node::isResponsibleFor).forEach(this::sweep);
    }

    private void sweep(String runner) {
        runners.engineMemory(runner)
                .thenAcceptAsync(
                        rows -> rows.stream()
                                .map(org.parsleydrift.kernel.upstream.EngineMemory::owner)
                                .distinct()
                                .forEach(owner -> releaseIfOrphaned(runner, owner)),
                        environment.loop())
                .exceptionally(failure -> null);
    }

    private void releaseIfOrphaned(String runner, String owner) {
        try {
            gateway.open(new CallerRequest.Explain(ProgramId.parse(owner)), reply -> {
                if (isOrphaned(reply)) {
                    release(runner, owner);
                }
            });
        } catch (StepException e) {
            LOG.log(
                    Logger.Level.DEBUG,
                    () -> LogLine.of("foreign_memory")
                            .with("runner", runner)
                            .with("owner", owner)
                            .toString());
        }
    }

    private static boolean isOrphaned(CallerReply reply) {
        return switch (reply) {
            case CallerReply.Refused refused ->
                refused.kind() == RefusalKind.UNKNOWN_PROGRAM || refused.kind() == RefusalKind.BAD_REQUEST;
            case CallerReply.Explained explained ->
                !"-".equals(explained.facts().get("end"));
            default -> false;
        };
    }

    private void release(String runner, String owner) {
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("memory_swept")
                        .with("runner", runner)
                        .with("program", owner)
                        .toString());
        environment.meters().counter("parsleydrift.memory.swept").increment();
        runners.releaseOn(runner, owner);
    }
}
