package org.parsleydrift.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.parsleydrift.conversation.Turn;

/** What a runner is given for a turn whose chain the system keeps. */
final class ChainText {
    private ChainText() {}

    /** Joins earlier turns, oldest first, each with its input and its output, and then the new input. */
    static byte[] assemble(List<Turn> chain, byte[] input) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        chain.forEach(turn -> {
            text.writeBytes(turn.input());
            text.writeBytes(turn.output());
        });
        text.writeBytes(input);
        return text.toByteArray();
    }
}
