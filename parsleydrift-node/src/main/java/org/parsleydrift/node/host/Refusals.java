package org.parsleydrift.node.host;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.program.ProgramId;

/** The refusals that a host gives in more than one place. */
final class Refusals {
    private Refusals() {}

    static CallerReply.Refused badRequest(String reason) {
        return new CallerReply.Refused(RefusalKind.BAD_REQUEST, Step.ADMIT, "caller", reason, 0);
    }

    static CallerReply.Refused notRun(String reason, long retryAfterMillis) {
        return new CallerReply.Refused(RefusalKind.NOT_RUN, Step.ADMIT, "self", reason, retryAfterMillis);
    }

    static CallerReply.Refused unknown(ProgramId id) {
        return new CallerReply.Refused(RefusalKind.UNKNOWN_PROGRAM, Step.ADMIT, "self", "no program " + id, 0);
    }

    /** Gives a refusal; there is nothing to end afterwards. */
    static Runnable refuse(ReplySink sink, CallerReply.Refused refusal) {
        sink.reply(refusal);
        return () -> {};
    }
}
