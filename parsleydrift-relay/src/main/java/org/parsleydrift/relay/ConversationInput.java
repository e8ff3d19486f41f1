package org.parsleydrift.relay;

import java.util.List;
import java.util.stream.Stream;
import org.parsleydrift.conversation.Turn;

/** Builds the request body of a turn whose conversation history is stored by the system. */
final class ConversationInput {
    private ConversationInput() {}

    /** Returns input and output of the earlier turns, oldest first, and the new input, without a copy of them. */
    static List<byte[]> assemble(List<Turn> history, byte[] input) {
        return Stream.concat(history.stream().flatMap(turn -> Stream.of(turn.input(), turn.output())), Stream.of(input))
                .filter(part -> part.length > 0)
                .toList();
    }
}
