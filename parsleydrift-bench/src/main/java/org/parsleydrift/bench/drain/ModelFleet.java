package org.parsleydrift.bench.drain;

import java.util.List;
import java.util.stream.IntStream;
import org.parsleydrift.bench.decisions.VirtualTime;

/** The nodes, their directory and their runners. */
final class ModelFleet {
    private final VirtualTime time;
    private final DrainRule rule;
    private final DrainTimes times;
    private final DrainTally tally;
    private final RunnerPool runners;
    private final List<ModelNode> nodes;

    ModelFleet(VirtualTime time, DrainRule rule, DrainTimes times, DrainTally tally, int nodes, int slots) {

        this.time = time;
        this.rule = rule;
        this.times = times;
        this.tally = tally;
        this.runners = new RunnerPool(time, tally, slots);
        this.nodes =
                IntStream.range(0, nodes).mapToObj(each -> new ModelNode(this)).toList();
    }

    VirtualTime time() {
        return time;
    }

    DrainRule rule() {
        return rule;
    }

    DrainTimes times() {
        return times;
    }

    DrainTally tally() {
        return tally;
    }

    RunnerPool runners() {
        return runners;
    }

    List<ModelNode> nodes() {
        return nodes;
    }

    /** Returns the nodes that a directory names. */
    List<ModelNode> directory() {
        return nodes.stream().filter(ModelNode::isReady).toList();
    }

    int readyNodes() {
        return (int) nodes.stream().filter(ModelNode::isReady).count();
    }
}
