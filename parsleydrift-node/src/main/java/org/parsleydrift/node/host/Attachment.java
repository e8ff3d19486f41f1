package org.parsleydrift.node.host;

import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.ReplySink;

/** A caller that reads a program's answer. Keeps its own offset, so each character is sent once and in order. */
final class Attachment {
    private final ReplySink sink;
    private long offset;
    private boolean closed;

    Attachment(ReplySink sink, long offset) {
        this.sink = sink;
        this.offset = offset;
    }

    /** Sends what the caller lacks of the answer; takes back what does not hold. */
    void show(String answer) {
        if (closed) {
            return;
        }
        if (offset > answer.length()) {
            offset = answer.length();
            sink.reply(new CallerReply.Rewind(offset));
        }
        if (offset < answer.length()) {
            String text = answer.substring((int) offset);
            sink.reply(new CallerReply.Output(offset, text));
            offset = answer.length();
        }
    }

    /** Sends one new piece to a caller that has all before it. */
    void append(String piece) {
        if (!closed) {
            sink.reply(new CallerReply.Output(offset, piece));
            offset += piece.length();
        }
    }

    void rewind(long to) {
        if (!closed && offset > to) {
            offset = to;
            sink.reply(new CallerReply.Rewind(to));
        }
    }

    void end(CallerReply last) {
        if (!closed) {
            closed = true;
            sink.reply(last);
        }
    }

    void close() {
        closed = true;
    }
}
