import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Two stores lose their disks one after the other, each long after the other is back. The turns answered before and
 * between must still be known, and new programs must be served.
 */
final class CatchUpCase {
    private static final int TURNS = 100;
    private static final int INPUT_BYTES = Integer.getInteger("input", 80_000);
    private static final int BUDGET = 100 * Fleet.MAX_TURN_TOKENS;
    private static final long BETWEEN_LOSSES_MILLIS = 15_000;
    private static final long RECOVERY_MILLIS = 12_000;

    public static void main(String[] arguments) {
        Fleet.exitAfter(arguments[0], 2, 60, CatchUpCase::run);
    }

    private static Optional<Boolean> run(Fleet fleet) throws Exception {
        List<String> turns = new ArrayList<>();
        byte[] input = "x".repeat(INPUT_BYTES).getBytes();
        for (int i = 0; i < TURNS; i++) {
            String attempt = fleet.newAttempt();
            if (fleet.turn(fleet.entries().get(i % 2), "program" + i, attempt, "", BUDGET, input).whole()) {
                turns.add(attempt);
            }
            Thread.sleep(20);
        }
        fleet.note(turns.size() + " turns of " + INPUT_BYTES + " bytes answered whole");
        if (turns.size() < TURNS) {
            return Optional.empty();
        }
        loseDisk(fleet, "store1");
        Thread.sleep(BETWEEN_LOSSES_MILLIS);
        loseDisk(fleet, "store2");
        Thread.sleep(RECOVERY_MILLIS);
        int lost = 0;
        int notReached = 0;
        int served = 0;
        int sent = 10;
        for (int i = 0; i < sent; i++) {
            String next = fleet.newAttempt();
            Fleet.Answer answer = fleet.turn(fleet.entries().get(i % 2), "program" + i, next, turns.get(i), BUDGET, "more\n".getBytes());
            Fleet.Answer fresh = fleet.turn(fleet.entries().get(i % 2), "fresh" + i, fleet.newAttempt(), "", BUDGET, "new\n".getBytes());
            lost += answer.status() == 404 || answer.status() == 410 ? 1 : 0;
            notReached += fleet.runs.containsKey(next) ? 0 : 1;
            served += fresh.whole() ? 1 : 0;
            fleet.note("turn that goes on: status " + answer.status() + "; first turn of a new program: status " + fresh.status());
        }
        for (Fleet.Member each : fleet.stores()) {
            fleet.note(each.name + " complete: " + fleet.log(each).lines().filter(line -> line.contains("event=store_complete")).count()
                    + ", frames refused: " + fleet.log(each).lines().filter(line -> line.contains("event=link_closed")).count());
        }
        boolean broken = lost > 0 || served * 4 < sent;
        fleet.note("of " + sent + " kept turns " + lost + " were answered 404 and " + notReached
                + " reached no runner; " + served + " of " + sent + " new programs were served"
                + (broken ? ": RECOVER is broken" : ""));
        return Optional.of(broken);
    }

    private static void loseDisk(Fleet fleet, String name) throws Exception {
        if (Fleet.TROUBLE) {
            Fleet.Member store = fleet.members.get(name);
            fleet.kill(store);
            fleet.wipe(store);
            Thread.sleep(1000);
            fleet.start(store, false);
        }
    }
}
