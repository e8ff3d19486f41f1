package org.parsleydrift.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.parsleydrift.conversation.Turn;

/** Builds the request body of a turn whose conversation history is stored by the system. */
final class ConversationInput {
    private ConversationInput() {}

    /** Concatenates input and output of the earlier turns, oldest first, and the new input. */
    static byte[] assemble(List<Turn> history, byte[] input) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        history.forEach(turn -> {
            text.writeBytes(turn.input());
            text.writeBytes(turn.output());
        });
        text.writeBytes(input);
        return text.toByteArray();
    }
}
