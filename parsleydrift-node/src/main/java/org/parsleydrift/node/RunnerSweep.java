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
 * Frees engine memory of programs that are gone. A node that dies leaves what it held on the engines; one of the others
 * compares each engine's list with the programs and frees the rest. Confined to the node's loop.
 */
final class RunnerSweep {
    private static final Logger LOG = System.getLogger(RunnerSweep.class.getName());
    private static final Duration PERIOD = Duration.ofSeconds(5);

    private final NodeEnvironment environment;
    private final Node node;
    private final RunnerPool runners;
    private final CallerGateway gateway;

    RunnerSweep(NodeEnvironment environment, Node node, RunnerPool runners, CallerGateway gateway) {
        this.environment = environment;
        this.node = node;
        this.runners = runners;
        this.gateway = gateway;
        environment.loop().scheduleWithFixedDelay(PERIOD, this::run);
    }

    private void run() {
        runners.addresses().stream().filter(node::leads).forEach(this::sweep);
    }

    private void sweep(String runner) {
        runners.memory(runner)
                .thenAcceptAsync(
                        rows -> rows.stream()
                                .map(org.parsleydrift.kernel.upstream.EngineMemory::owner)
                                .distinct()
                                .forEach(owner -> judge(runner, owner)),
                        environment.loop())
                .exceptionally(unreachable -> null);
    }

    private void judge(String runner, String owner) {
        try {
            gateway.open(new CallerRequest.Explain(ProgramId.parse(owner)), reply -> {
                if (gone(reply)) {
                    free(runner, owner);
                }
            });
        } catch (StepException notOurs) {
            LOG.log(
                    Logger.Level.DEBUG,
                    () -> LogLine.of("foreign_memory")
                            .with("runner", runner)
                            .with("owner", owner)
                            .toString());
        }
    }

    private static boolean gone(CallerReply reply) {
        return switch (reply) {
            case CallerReply.Refused refused ->
                refused.kind() == RefusalKind.UNKNOWN_PROGRAM || refused.kind() == RefusalKind.BAD_REQUEST;
            case CallerReply.Explained explained ->
                !"-".equals(explained.facts().get("end"));
            default -> false;
        };
    }

    private void free(String runner, String owner) {
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("memory_swept")
                        .with("runner", runner)
                        .with("program", owner)
                        .toString());
        environment.meters().counter("parsleydrift.memory.swept").increment();
        runners.releaseAt(runner, owner);
    }
}
