package org.parsleydrift.conversation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The program that a turn belongs to, and the turns of other programs that its chain begins with. The store VMs keep the
 * inherited turns as long as the program lives.
 *
 * @param program the program; for turns without one, a name that all turns share whose chains have the same first turn;
 *     empty for such a first turn
 * @param inherited the inherited part of the chain; empty if all turns of the chain belong to the program
 */
public record TurnLineage(String program, Optional<InheritedChain> inherited) {
    /** First character of the names of records whose program is not known; no program begins with it. */
    static final char UNNAMED_PREFIX = '\0';

    /**
     * Returns the lineage of a turn.
     *
     * @param program the program of the turn; empty for none
     * @param chain the IDs of the preceding turns, oldest first
     * @param programs the known programs of these turns by their IDs; a turn of an unknown program counts as inherited
     * @return the lineage
     */
    static TurnLineage of(String program, List<String> chain, Map<String, String> programs) {
        String owner = program.isEmpty() && !chain.isEmpty() ? unnamedProgram(chain.getFirst()) : program;
        Optional<InheritedChain> inherited = IntStream.iterate(
                        chain.size() - 1, index -> index >= 0, index -> index - 1)
                .filter(index -> !owner.equals(programs.get(chain.get(index))))
                .boxed()
                .findFirst()
                .map(index -> new InheritedChain(chain.get(index), chain.subList(0, index + 1)));
        return new TurnLineage(owner, inherited);
    }

    /** Returns this lineage with a name for the records of the given turn, if it has none. */
    TurnLineage named(String turn) {
        return program.isEmpty() ? new TurnLineage(unnamedProgram(turn), inherited) : this;
    }

    /** Returns the name of the records of turns without a program whose chains begin with a turn. */
    static String unnamedProgram(String firstTurn) {
        return UNNAMED_PREFIX + "turn " + firstTurn;
    }
}
