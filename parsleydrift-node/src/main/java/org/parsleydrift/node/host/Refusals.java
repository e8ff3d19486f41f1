package org.parsleydrift.node.host;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.program.ProgramId;

/** Factory methods for common refusals. */
final class Refusals {
    private Refusals() {}

    static CallerReply.Refused badRequest(String reason) {
        return new CallerReply.Refused(RefusalKind.BAD_REQUEST, Step.ADMIT, "caller", reason, 0);
    }

    static CallerReply.Refused notRun(String reason, long retryAfterMillis) {
        return new CallerReply.Refused(RefusalKind.NOT_RUN, Step.ADMIT, "self", reason, retryAfterMillis);
    }

    static CallerReply.Refused unknown(ProgramId id) {
        return new CallerReply.Refused(RefusalKind.UNKNOWN_PROGRAM, Step.ADMIT, "self", "no program with id " + id, 0);
    }

    /** Sends a refusal. Returns a cancellation without effect, since no further replies follow. */
    static Runnable refuse(ReplySink sink, CallerReply.Refused refusal) {
        sink.reply(refusal);
        return () -> {};
    }
}
