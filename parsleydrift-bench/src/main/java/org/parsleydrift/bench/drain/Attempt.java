package org.parsleydrift.bench.drain;

/** One attempt of a caller at one node. */
final class Attempt {
    final ModelCaller caller;
    final ModelRequest request;
    final ModelNode node;
    final boolean responseLost;
    double receivedMillis;
    double startMillis;
    double runnerLimitMillis;
    Stage stage = Stage.WAITING;
    boolean answered;

    /** Where the work is. */
    enum Stage {
        WAITING,
        RUNNING,
        ENDED
    }

    Attempt(ModelCaller caller, ModelRequest request, ModelNode node, boolean responseLost) {
        this.caller = caller;
        this.request = request;
        this.node = node;
        this.responseLost = responseLost;
    }
}
