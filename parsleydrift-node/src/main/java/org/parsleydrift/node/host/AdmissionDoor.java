package org.parsleydrift.node.host;

import java.util.Optional;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.manifest.ManifestInForce;
import org.parsleydrift.program.ProgramId;

/**
 * Decides whether new work is taken. Confined to the node's loop.
 *
 * <p>A node that can't reach the platform may have lost its journal to a successor, which may have taken an earlier try
 * of the same request. So "not run" is said of a first try only: then no other can exist. A caller that asks again is
 * told that the outcome is unknown.
 */
final class AdmissionDoor {
    private static final long RETRY_MILLIS = 2000;
    private static final int SECONDS_PER_MINUTE = 60;

    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final JournalWriter journal;
    private final ManifestInForce manifest;

    AdmissionDoor(EventLoop loop, NodeSettings.Timings timings, JournalWriter journal, ManifestInForce manifest) {
        this.loop = loop;
        this.timings = timings;
        this.journal = journal;
        this.manifest = manifest;
    }

    /** The refusal of a start, or empty if it may go on. */
    Optional<CallerReply.Refused> refusal(ProgramId id, boolean firstTry) {
        long ageMinutes = loop.clock().instant().getEpochSecond() / SECONDS_PER_MINUTE - id.issuedMinutes();
        if (ageMinutes > timings.ticketLifetime().toMinutes()) {
            return Optional.of(new CallerReply.Refused(
                    RefusalKind.EXPIRED, Step.ADMIT, "self", "the ticket is too old: ask for another", 0));
        }
        if (journal.inFlightWriteAge().compareTo(timings.outageThreshold()) > 0) {
            return Optional.of(notNow("the platform does not answer", firstTry));
        }
        return manifest.version() == null ? Optional.of(notNow("no manifest is in force", firstTry)) : Optional.empty();
    }

    private static CallerReply.Refused notNow(String reason, boolean firstTry) {
        RefusalKind kind = firstTry ? RefusalKind.NOT_RUN : RefusalKind.OUTCOME_UNKNOWN;
        return new CallerReply.Refused(kind, Step.ADMIT, "self", reason, RETRY_MILLIS);
    }
}
