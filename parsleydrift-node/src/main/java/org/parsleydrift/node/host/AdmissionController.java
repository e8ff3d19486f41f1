package org.parsleydrift.node.host;

import java.util.Optional;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.manifest.CurrentManifest;
import org.parsleydrift.program.ProgramId;

/**
 * Admission control for new programs and service calls. Confined to the node's event loop.
 *
 * <p>A node that cannot reach the platform may have lost its journal to a successor, which may have accepted an earlier
 * attempt of the same request. Only a first attempt is therefore refused as {@link RefusalKind#NOT_RUN}; a repeated one
 * is refused as {@link RefusalKind#OUTCOME_UNKNOWN}.
 */
final class AdmissionController {
    private static final long RETRY_AFTER_MILLIS = 2000;
    private static final int SECONDS_PER_MINUTE = 60;

    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final JournalWriter journal;
    private final CurrentManifest manifest;

    AdmissionController(EventLoop loop, NodeSettings.Timings timings, JournalWriter journal, CurrentManifest manifest) {
        this.loop = loop;
        this.timings = timings;
        this.journal = journal;
        this.manifest = manifest;
    }

    /** Returns the refusal of a start request, or empty if it is admitted. */
    Optional<CallerReply.Refused> refusal(ProgramId id, boolean firstAttempt) {
        long ageMinutes = loop.clock().instant().getEpochSecond() / SECONDS_PER_MINUTE - id.issuedMinutes();
        if (ageMinutes > timings.ticketLifetime().toMinutes()) {
            return Optional.of(new CallerReply.Refused(
                    RefusalKind.EXPIRED,
                    Step.ADMIT,
                    "self",
                    "ticket issued " + ageMinutes + " min ago has expired, limit is "
                            + timings.ticketLifetime().toMinutes() + " min; request a new ticket",
                    0));
        }
        if (journal.inFlightWriteAge().compareTo(timings.outageThreshold()) > 0) {
            return Optional.of(unavailable(
                    "the platform has not answered a journal write for "
                            + journal.inFlightWriteAge().toMillis() + " ms, limit is "
                            + timings.outageThreshold().toMillis() + " ms",
                    firstAttempt));
        }
        return manifest.version() == null
                ? Optional.of(unavailable("no manifest is known", firstAttempt))
                : Optional.empty();
    }

    private static CallerReply.Refused unavailable(String reason, boolean firstAttempt) {
        RefusalKind kind = firstAttempt ? RefusalKind.NOT_RUN : RefusalKind.OUTCOME_UNKNOWN;
        return new CallerReply.Refused(kind, Step.ADMIT, "self", reason, RETRY_AFTER_MILLIS);
    }
}
