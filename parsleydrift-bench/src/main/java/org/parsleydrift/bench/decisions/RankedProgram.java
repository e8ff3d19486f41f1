package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * A program of a rank, with what its completion is worth.
 *
 * @param script its turns, arrival and target
 * @param rank rank of its route; 0 is the best
 * @param worthInTime worth if completed within the target time
 * @param worthLate worth if completed within twice the target time
 */
record RankedProgram(ProgramScript script, int rank, double worthInTime, double worthLate) {
    /** Number of ranks. */
    static final int RANKS = 2;

    private static final double TARGET_FACTOR = 1.3;
    private static final int SHARED_TOKENS = 512;
    private static final int SHARED_PARTS = 16;
    private static final int SUB_AGENTS = 5;
    private static final int SUB_AGENT_TURNS = 2;
    private static final int MAX_OUTPUT_TOKENS = 286;
    private static final double MEAN_INPUT_TOKENS = 400;
    private static final double MEAN_OUTPUT_TOKENS = 73;
    /** Network time of a turn between caller and engine, ms. */
    private static final double NETWORK_MILLIS = 40;
    /** Durations of the tool calls between turns, ms. */
    private static final List<Integer> TOOL_MILLIS = List.of(52, 139, 207);

    /**
     * Kind of program.
     *
     * @param rank rank of the route
     * @param turns mean number of turns
     * @param fanOut share of turns that start sub-agents
     * @param slackMillis constant part of the target time, ms
     * @param worthInTime worth if completed in time
     * @param worthLate worth if completed within twice the target time
     */
    private record Kind(int rank, int turns, double fanOut, double slackMillis, double worthInTime, double worthLate) {}

    private static final List<Kind> KINDS =
            List.of(new Kind(0, 4, 0.05, 251, 5.7, 1.1), new Kind(1, 7, 0.25, 501, 5.0, 3.7));

    static RankedProgram generate(
            String id, int rank, double beginMillis, RandomGenerator random, EngineParameters parameters) {
        Kind kind = KINDS.get(rank);
        int turns = Math.max(1, (int) Math.round(kind.turns() * Math.exp(0.3 * random.nextGaussian() - 0.045)));
        List<TurnScript> line = IntStream.range(0, turns)
                .mapToObj(turn -> {
                    boolean hasSubAgents = turn < turns - 1 && random.nextDouble() < kind.fanOut();
                    return turn(hasSubAgents ? SUB_AGENTS : 0, random);
                })
                .toList();
        double target = TARGET_FACTOR * ProgramScript.idleMillis(line, parameters, SHARED_TOKENS, NETWORK_MILLIS)
                + kind.slackMillis();
        ProgramScript script = new ProgramScript(
                id, beginMillis, "shared" + random.nextInt(SHARED_PARTS), SHARED_TOKENS, line, target);
        return new RankedProgram(script, rank, kind.worthInTime(), kind.worthLate());
    }

    private static TurnScript turn(int subAgents, RandomGenerator random) {
        List<List<TurnScript>> agents = new ArrayList<>();
        for (int i = 0; i < subAgents; i++) {
            agents.add(IntStream.range(0, SUB_AGENT_TURNS)
                    .mapToObj(each -> turn(0, random))
                    .toList());
        }
        int input = (int) Math.max(20, MEAN_INPUT_TOKENS * Math.exp(0.5 * random.nextGaussian() - 0.125));
        int output = (int) Math.max(
                11, Math.min(MAX_OUTPUT_TOKENS, MEAN_OUTPUT_TOKENS * Math.exp(0.8 * random.nextGaussian() - 0.32)));
        double pause = TOOL_MILLIS.get(random.nextInt(TOOL_MILLIS.size()));
        return new TurnScript(input, output, random.nextDouble(), pause, agents);
    }
}
