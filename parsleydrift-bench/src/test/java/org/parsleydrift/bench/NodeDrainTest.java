package org.parsleydrift.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleydrift.node.EntryAssignment;
import org.parsleydrift.node.call.CallResult;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.standin.EngineFaults;
import org.parsleydrift.standin.ToolFaults;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Callers that a draining node owes a reply, on an in-memory fleet. */
public class NodeDrainTest {
    /** Three times the drain timeout. */
    private static final Duration END = Duration.ofSeconds(60);

    private Fleet fleet;
    private FleetNode node;
    private boolean drained;

    @BeforeMethod
    void startFleet() {
        fleet = new Fleet(new FleetOptions(7, 3, 2, 1));
        fleet.advance(Duration.ofSeconds(1));
        fleet.submit(fleet.manifest(32));
        node = fleet.nodes().getFirst();
        drained = false;
    }

    private void drain() {
        node.drain().thenRun(() -> drained = true);
        fleet.advance(Duration.ofMillis(10));
    }

    /** Returns the id of a program that the draining node owns. */
    private ProgramId ownId(String key) {
        String ticket =
                node.node().assignEntryNode("team").map(EntryAssignment::ticket).orElseThrow();
        String minute = ticket.substring(ticket.indexOf('~'));
        return ProgramId.parse(node.node().status().node() + minute + "~team~" + key);
    }

    private List<CallerReply> open(CallerRequest request) {
        List<CallerReply> replies = new ArrayList<>();
        node.run(() -> node.node().open(request, replies::add));
        fleet.advance(Duration.ofMillis(10));
        return replies;
    }

    private static Optional<RefusalKind> refusal(List<CallerReply> replies) {
        List<CallerReply> last = replies.stream().filter(CallerReply::last).toList();
        return last.size() == 1
                        && last.getFirst() instanceof CallerReply.Refused refused
                        && refused.retryAfterMillis() > 0
                ? Optional.of(refused.kind())
                : Optional.empty();
    }

    /** Guards against streams that end without a reply, as the process ends before their program. */
    @Test
    public void streamThatOutlastsTheDrainIsAnsweredAtItsEnd() {
        fleet.engines().values().forEach(engine -> engine.faults(new EngineFaults(false, true, 0)));
        ProgramId id = ownId("k");
        open(new CallerRequest.Start(id, "a", "d <say 2, end>", true));
        fleet.advance(Duration.ofSeconds(1));
        List<CallerReply> stream = open(new CallerRequest.Attach(id, 0));
        drain();
        fleet.advance(END.minusSeconds(1));
        assertTrue(stream.stream().noneMatch(CallerReply::last), stream.toString());
        assertFalse(drained, "the drain has not waited");
        fleet.advance(Duration.ofSeconds(2));
        assertTrue(drained);
        assertEquals(refusal(stream), Optional.of(RefusalKind.NOT_RUN), stream.toString());
    }

    /** Guards against repeatable calls that a drain does not wait for, or that get no reply. */
    @Test
    public void repeatableCallThatOutlastsTheDrainIsUnknown() {
        fleet.tools().values().forEach(tool -> tool.faults(new ToolFaults(false, true, 0)));
        List<CallResult> results = new ArrayList<>();
        node.run(() -> node.node().callRepeatable("lookup", "{}").thenAccept(results::add));
        drain();
        fleet.advance(Duration.ofSeconds(1));
        assertFalse(drained, "the drain has not waited");
        fleet.advance(END);
        assertTrue(drained);
        assertEquals(results.stream().map(CallResult::outcome).toList(), List.of(CallOutcome.OUTCOME_UNKNOWN));
    }

    /** Guards against requests that are accepted although the process ends before their answer. */
    @Test
    public void requestsAreRejectedOnceTheDrainIsOver() {
        drain();
        fleet.awaitTrue(END, () -> drained);
        assertEquals(
                refusal(open(new CallerRequest.Start(ownId("first"), "a", "d <end>", true))),
                Optional.of(RefusalKind.NOT_RUN));
        assertEquals(
                refusal(open(new CallerRequest.Start(ownId("repeat"), "a", "d <end>", false))),
                Optional.of(RefusalKind.OUTCOME_UNKNOWN));
        assertEquals(refusal(open(new CallerRequest.Attach(ownId("x"), 0))), Optional.of(RefusalKind.NOT_RUN));
    }
}
