import java.util.Optional;

/**
 * One of three stores is retired as planned. Then one of the two others freezes, a turn is answered, and the last one
 * loses its disk before the frozen one wakes. One disk is lost in all, so nothing that was acknowledged may be lost, and
 * service must resume within the recovery time after both are back.
 */
final class PairCase {
    private static final int BUDGET = 100 * Fleet.MAX_TURN_TOKENS;
    private static final long FREEZE_MILLIS = 3200;
    private static final long DARK_MILLIS = 2000;
    private static final long SETTLED_MILLIS = 6000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int SENT = 8;

    public static void main(String[] arguments) {
        Fleet.exitAfter(arguments[0], 2, 60, PairCase::run);
    }

    private static Optional<Boolean> run(Fleet fleet) throws Exception {
        if (!retire(fleet, fleet.members.get("store3"))) {
            return Optional.empty();
        }
        Thread.sleep(SETTLED_MILLIS);
        Fleet.Member frozen = fleet.members.get("store2");
        Fleet.Member losing = fleet.members.get("store1");
        long freezeNanos = System.nanoTime();
        if (Fleet.TROUBLE) {
            fleet.signal(frozen, "STOP");
        }
        String kept = answeredTurn(fleet);
        if (kept.isEmpty()) {
            fleet.note("no turn was answered meanwhile");
        }
        if (Fleet.TROUBLE) {
            fleet.kill(losing);
            fleet.wipe(losing);
            long lossNanos = System.nanoTime();
            fleet.sleepUntil(freezeNanos + FREEZE_MILLIS * 1_000_000);
            fleet.signal(frozen, "CONT");
            fleet.sleepUntil(lossNanos + DARK_MILLIS * 1_000_000);
            fleet.start(losing, false);
        }
        Thread.sleep(RECOVERY_MILLIS);
        return Optional.of(check(fleet, kept));
    }

    private static boolean retire(Fleet fleet, Fleet.Member store) throws Exception {
        fleet.platform().put("retirements", store.name, "{\"duration_s\":10}");
        fleet.note("retirement of " + store.name + " is requested");
        for (int i = 0; i < 100; i++) {
            if (fleet.platform().status("retirements", store.name).orElse("").contains("complete")) {
                fleet.note("retirement of " + store.name + " is complete");
                fleet.kill(store);
                fleet.wipe(store);
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends first turns until one is answered whole, while the freeze lasts; returns its attempt, or the empty string. */
    private static String answeredTurn(Fleet fleet) throws Exception {
        long endNanos = System.nanoTime() + (FREEZE_MILLIS - 700) * 1_000_000;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String attempt = fleet.newAttempt();
            Fleet.Answer answer =
                    fleet.turn(fleet.entries().get(i % 2), "program", attempt, "", BUDGET, "first\n".getBytes());
            if (answer.whole()) {
                fleet.note("turn " + attempt + " is answered whole");
                return attempt;
            }
            Thread.sleep(100);
        }
        return "";
    }

    private static boolean check(Fleet fleet, String kept) throws Exception {
        int lost = 0;
        int reached = 0;
        int served = 0;
        for (int i = 0; i < SENT; i++) {
            Fleet.Member entry = fleet.entries().get(i % 2);
            String next = fleet.newAttempt();
            Fleet.Answer goesOn = fleet.turn(entry, "program", next, kept, BUDGET, "second\n".getBytes());
            Fleet.Answer fresh = fleet.turn(entry, "fresh" + i, fleet.newAttempt(), "", BUDGET, "new\n".getBytes());
            lost += goesOn.status() == 404 || goesOn.status() == 410 ? 1 : 0;
            reached += fleet.runs.containsKey(next) ? 1 : 0;
            served += fresh.whole() ? 1 : 0;
            fleet.note("turn that goes on: status " + goesOn.status() + "; first turn of a new program: status "
                    + fresh.status());
        }
        boolean broken = lost > 0 || served * 4 < SENT;
        fleet.note("of " + SENT + " turns that go on " + lost + " were answered 404 and " + reached
                + " reached a runner; " + served + " of " + SENT + " new programs were served"
                + (broken ? ": RECOVER or LOST is broken" : ""));
        fleet.note("store set: " + fleet.platform().get("parsleydrift-stores", "set").orElse("-"));
        return broken;
    }
}
