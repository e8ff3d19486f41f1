package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * A randomly generated program, fixed before a run.
 *
 * @param id id of the program, unique in the run
 * @param beginMillis arrival time of the first turn, ms
 * @param sharedPart id of the shared prefix of its prompts
 * @param sharedTokens length of the shared prefix, tokens
 * @param turns turns of the main agent, in order
 * @param targetMillis target completion time, ms
 */
public record ProgramScript(
        String id,
        double beginMillis,
        String sharedPart,
        int sharedTokens,
        List<TurnScript> turns,
        double targetMillis) {
    /** Ratio of the target completion time to the time on idle engines. */
    private static final double TARGET_FACTOR = 1.5;
    /** Constant part of the target completion time, ms. */
    private static final double TARGET_SLACK_MILLIS = 250;
    /** Network time of a turn between caller and engine, ms. */
    private static final double NETWORK_DELAY_MILLIS = 36;
    /** Number of distinct shared prefixes. */
    private static final int SHARED_PARTS = 16;

    private static final int SHARED_TOKENS = 512;
    private static final int SUB_AGENT_TURNS = 2;
    private static final int MAX_OUTPUT_TOKENS = 286;

    /**
     * Generates a program; 30% are long dialogues with short inputs and many sub-agents.
     *
     * @param id id of the program, unique in the run
     * @param beginMillis arrival time, ms
     * @param random the random generator
     * @param parameters engine parameters for the estimated time on idle engines
     * @return the program
     */
    static ProgramScript generate(String id, double beginMillis, RandomGenerator random, EngineParameters parameters) {
        boolean dialogue = random.nextDouble() < 0.3;
        int turns = Math.max(1, (int) Math.round((dialogue ? 7 : 4) * Math.exp(0.4 * random.nextGaussian())));
        double inputMean = dialogue ? 327 : 654;
        double fanOut = dialogue ? 0.15 : 0.05;
        double pauseMean = dialogue ? 230 : 120;
        List<TurnScript> line = IntStream.range(0, turns)
                .mapToObj(turn -> {
                    boolean hasSubAgents = turn < turns - 1 && random.nextDouble() < fanOut;
                    return turn(inputMean, pauseMean, hasSubAgents ? 3 + random.nextInt(5) : 0, random);
                })
                .toList();
        double target =
                TARGET_FACTOR * idleMillis(line, parameters, SHARED_TOKENS, NETWORK_DELAY_MILLIS) + TARGET_SLACK_MILLIS;
        return new ProgramScript(id, beginMillis, "shared" + random.nextInt(SHARED_PARTS), SHARED_TOKENS, line, target);
    }

    private static TurnScript turn(double inputMean, double pauseMean, int fanOut, RandomGenerator random) {
        List<List<TurnScript>> subAgents = new ArrayList<>();
        for (int i = 0; i < fanOut; i++) {
            subAgents.add(IntStream.range(0, SUB_AGENT_TURNS)
                    .mapToObj(each -> turn(inputMean, pauseMean, 0, random))
                    .toList());
        }
        int input =
                (int) Math.max(20, Math.min(5 * inputMean, inputMean * Math.exp(0.7 * random.nextGaussian() - 0.25)));
        int output = (int) Math.max(11, Math.min(MAX_OUTPUT_TOKENS, 73 * Math.exp(0.8 * random.nextGaussian() - 0.32)));
        double pause = pauseMean * Math.exp(0.6 * random.nextGaussian() - 0.18);
        return new TurnScript(input, output, random.nextDouble(), pause, subAgents);
    }

    /** Returns the duration of a line of turns on idle engines, ms, with the given network time per turn. */
    static double idleMillis(
            List<TurnScript> line, EngineParameters parameters, int firstShared, double networkMillis) {
        double sum = firstShared / parameters.prefillTokensPerMilli();
        for (TurnScript turn : line) {
            sum += networkMillis
                    + turn.newTokens() / parameters.prefillTokensPerMilli()
                    + turn.outputTokens() * parameters.stepMillis()
                    + turn.pauseMillis();
            sum += turn.subAgents().stream()
                    .mapToDouble(each -> idleMillis(each, parameters, 0, networkMillis))
                    .max()
                    .orElse(0);
        }
        return sum;
    }
}
