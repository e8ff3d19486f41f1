package org.parsleydrift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.manifest.Budget;
import org.testng.annotations.Test;

/** The life of a program, event by event. */
public class ProgramMachineTest {
    private static final ProgramId ID = ProgramId.parse("vm1-1~10~team~key");

    private static ProgramState begin(Budget budget) {
        return ProgramStateMachine.start(new ProgramEvent.Started(ID, "a", "prompt", budget, 1, 0));
    }

    private static Budget budget(int turns, int calls) {
        return new Budget(100, turns, calls, 10, 1, 2, 3);
    }

    private static ProgramState turn(ProgramState state, String path, int turn, Action... actions) {
        return ProgramStateMachine.apply(
                state, new ProgramEvent.TurnEnded(path, turn, "t" + turn + " ", List.of(actions), 5));
    }

    @Test
    public void callsOfOneTurnRunOneAfterTheOther() {
        ProgramState state =
                turn(begin(budget(9, 9)), "0", 0, new Action.CallTool("x", "1"), new Action.CallTool("x", "2"));
        String first = ID + "/0/0/0";
        assertEquals(keys(state), List.of("call/" + first));
        state = ProgramStateMachine.apply(state, new ProgramEvent.CallEnded(first, CallOutcome.OK, "yes"));
        assertEquals(keys(state), List.of("call/" + ID + "/0/0/1"));
    }

    /** Symptom: a call's answer counts for another call. Events: an answer comes late or crossed. Cause: no check of whose it is. */
    @Test
    public void lateAndCrossedEventsChangeNothing() {
        ProgramState state = turn(begin(budget(9, 9)), "0", 0, new Action.CallTool("x", "1"));
        assertEquals(
                ProgramStateMachine.apply(state, new ProgramEvent.CallEnded(ID + "/0/7/0", CallOutcome.OK, "late")),
                state);
        assertEquals(turn(state, "0", 0), state);
        assertEquals(turn(state, "0.5", 0), state);
    }

    @Test
    public void subAgentsRunSideBySideAndAreJoined() {
        ProgramState state = turn(
                begin(budget(9, 9)), "0", 0, new Action.Spawn("a", "p"), new Action.Spawn("a", "q"), new Action.End());
        assertEquals(keys(state), List.of("turn/0.0/0", "turn/0.1/0"));
        state = turn(state, "0.1", 0, new Action.End());
        assertEquals(keys(state), List.of("turn/0.0/0"));
        state = turn(state, "0.0", 0, new Action.End());
        assertEquals(state.end(), ProgramEnd.COMPLETE);
    }

    @Test
    public void messagesAreReadOnceAndInOrder() {
        ProgramState state = begin(budget(9, 9));
        state = ProgramStateMachine.apply(state, new ProgramEvent.MessageArrived("m1", "one"));
        state = ProgramStateMachine.apply(state, new ProgramEvent.MessageArrived("m1", "one"));
        state = turn(state, "0", 0, new Action.AwaitMessage(), new Action.AwaitMessage());
        assertEquals(keys(state), List.of());
        state = ProgramStateMachine.apply(state, new ProgramEvent.MessageArrived("m2", "two"));
        assertEquals(keys(state), List.of("turn/0/1"));
        assertEquals(state.root().history().getLast().text(), "two");
    }

    @Test
    public void budgetsLoopsAndTimeStopAProgram() {
        assertEquals(stop(turn(begin(budget(1, 9)), "0", 0)), ProgramEnd.BUDGET_SPENT);
        assertEquals(stop(turn(begin(budget(9, 0)), "0", 0, new Action.CallTool("x", "1"))), ProgramEnd.BUDGET_SPENT);
        ProgramState late = begin(budget(9, 9));
        assertTrue(ProgramStateMachine.nextSteps(late, 10_000).getFirst() instanceof ProgramStep.Stop);
        ProgramState loop = begin(budget(9, 9));
        for (int i = 0; i < 3; i++) {
            loop = turn(loop, "0", i, new Action.CallTool("x", "same"));
            loop = ProgramStateMachine.apply(
                    loop, new ProgramEvent.CallEnded(ID + "/0/" + i + "/0", CallOutcome.OK, ""));
        }
        assertEquals(stop(loop), ProgramEnd.LOOP);
    }

    @Test
    public void tooManySubAgentsSpendTheBudget() {
        Action spawn = new Action.Spawn("a", "p");
        assertEquals(turn(begin(budget(9, 9)), "0", 0, spawn, spawn, spawn).end(), ProgramEnd.BUDGET_SPENT);
    }

    @Test
    public void stateSurvivesItsEncoding() {
        ProgramState state =
                turn(begin(budget(9, 9)), "0", 0, new Action.Spawn("a", "p"), new Action.CallTool("x", "{}"));
        ProgramEvent restored = new ProgramEvent.Restored(state);
        assertEquals(MessagePackCodec.decode(MessagePackCodec.encode(restored), ProgramEvent.class, "test"), restored);
    }

    /** Symptom: one caller reads another's program, or a log line is split. Events: a hostile key. Cause: parts taken as they come. */
    @Test
    public void hostileIdsAreRefused() {
        List.of("a~1~t~../x", "a~1~t~", "a~1~t", "a~x~t~k", "a~1~t~k\nevent=x", "a/b~1~t~k", "a~1~t~" + "k".repeat(65))
                .forEach(text -> assertThrows(StepException.class, () -> ProgramId.parse(text)));
    }

    @Test
    public void ledgerNeverGrantsMoreThanIsLeft() {
        BudgetLedger ledger = new BudgetLedger(10, 0, 0);
        assertEquals(ledger.grant(8), 8);
        ledger = ledger.reserve(8);
        assertEquals(ledger.grant(8), 2);
        ledger = ledger.settle(8, 3);
        assertEquals(ledger.grant(100), 7);
    }

    private static List<String> keys(ProgramState state) {
        return ProgramStateMachine.nextSteps(state, 0).stream()
                .map(ProgramStep::key)
                .toList();
    }

    private static ProgramEnd stop(ProgramState state) {
        return ((ProgramStep.Stop) ProgramStateMachine.nextSteps(state, 0).getFirst()).end();
    }
}
