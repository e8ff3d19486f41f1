package org.parsleydrift.bench;

import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates random scripts for the stand-in engine, with turns, tool calls, sub-agents and waits. */
final class PromptGenerator {
    private static final int MAX_TURNS = 6;
    private static final int MAX_SAY = 8;
    private static final int MAX_CHILDREN = 3;

    private final SplittableRandom random;
    private int calls;
    private int messages;

    PromptGenerator(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the number of messages that the last generated prompt waits for. */
    int messages() {
        return messages;
    }

    String next() {
        calls = 0;
        messages = 0;
        return "do <" + turns(2 + random.nextInt(MAX_TURNS), true) + " / say 3, end>";
    }

    private String turns(int count, boolean root) {
        return IntStream.range(0, count).mapToObj(i -> turn(root)).collect(Collectors.joining(" / "));
    }

    private String turn(boolean root) {
        String say = "say " + (1 + random.nextInt(MAX_SAY));
        int kind = random.nextInt(root ? 10 : 5);
        return say
                + switch (kind) {
                    case 0, 1 -> ", tool once {\"n\":" + calls++ + "}";
                    case 2 -> ", tool often {\"n\":" + calls++ + "}";
                    case 5 -> children();
                    case 6 -> {
                        messages++;
                        yield ", wait";
                    }
                    case 7 -> ", tool once {\"n\":" + calls++ + "}, tool often {\"n\":" + calls++ + "}";
                    default -> "";
                };
    }

    private String children() {
        return IntStream.rangeClosed(0, random.nextInt(MAX_CHILDREN))
                .mapToObj(i -> ", spawn a <" + turns(1 + random.nextInt(2), false) + " / say 2, end>")
                .collect(Collectors.joining());
    }
}
