package org.parsleydrift.node.host;

import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.ReplySink;

/** A caller attached to a program's answer. Tracks the offset sent so far, so each character is sent once, in order. */
final class Attachment {
    private final ReplySink sink;
    private long offset;
    private boolean closed;

    Attachment(ReplySink sink, long offset) {
        this.sink = sink;
        this.offset = offset;
    }

    /** Sends the part of the answer after the offset, or rewinds the caller if the answer has become shorter. */
    void sendMissing(String answer) {
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

    /** Sends new text to a caller that has all text before it. */
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
