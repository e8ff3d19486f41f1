import java.util.Optional;

/**
 * The stores are stopped with SIGTERM and started again in turn while a program sends turns. The program lives on for
 * more than three times the retention period; each of its turns follows the one before within a second. Its turns must go
 * on to reach a runner.
 */
final class ChainCase {
    private static final double RETENTION_SECONDS = 20;
    private static final int BUDGET = 1000 * Fleet.MAX_TURN_TOKENS;
    private static final long RESTARTS_AT_MILLIS = 4000;
    private static final long RESTART_GAP_MILLIS = 6500;
    /** About the pauses of the programs of the sheet (think_ms 60 on average). */
    private static final long TURN_PAUSE_MILLIS = 100;
    /** Pause between turns after the restarts. */
    private static final long LATER_PAUSE_MILLIS = 700;
    private static final long RESTARTS_END_MILLIS = 20_000;
    private static final long RETRY_PAUSE_MILLIS = 500;
    private static final long TRAFFIC_MILLIS = 85_000;
    private static final int TRIES = 8;

    public static void main(String[] arguments) {
        Fleet.exitAfter(arguments[0], 2, RETENTION_SECONDS, ChainCase::run);
    }

    private static Optional<Boolean> run(Fleet fleet) throws Exception {
        long startNanos = System.nanoTime();
        Thread restarts = Thread.ofPlatform().start(() -> restartInTurn(fleet, startNanos));
        String previous = "";
        int served = 0;
        int failedInARow = 0;
        int firstTurnsServed = 0;
        while (System.nanoTime() - startNanos < TRAFFIC_MILLIS * 1_000_000 && failedInARow < TRIES) {
            String attempt = fleet.newAttempt();
            Fleet.Answer answer = fleet.turn(fleet.entries().get(served % 2), "program", attempt, previous, BUDGET,
                    ("input " + served + "\n").getBytes());
            if (answer.whole()) {
                previous = attempt;
                served++;
                failedInARow = 0;
                firstTurnsServed = 0;
            } else {
                failedInARow += fleet.runs.containsKey(attempt) ? 0 : 1;
                Fleet.Answer fresh = fleet.turn(fleet.entries().get(failedInARow % 2), "fresh" + attempt,
                        fleet.newAttempt(), "", BUDGET, "new\n".getBytes());
                firstTurnsServed += fresh.whole() ? 1 : 0;
                fleet.note("turn " + served + " of the program: status " + answer.status()
                        + "; first turn of another program: status " + fresh.status());
                Thread.sleep(RETRY_PAUSE_MILLIS);
            }
            boolean isLater = System.nanoTime() - startNanos > RESTARTS_END_MILLIS * 1_000_000;
            Thread.sleep(isLater ? LATER_PAUSE_MILLIS : TURN_PAUSE_MILLIS);
        }
        restarts.join();
        for (Fleet.Member each : fleet.stores()) {
            fleet.note(each.name + " turns at its start: " + fleet.log(each).lines()
                    .filter(line -> line.contains("event=store_opened")).map(line -> line.replaceAll(".* turns=(\\d+).*", "$1")).toList());
        }
        boolean broken = failedInARow >= TRIES && firstTurnsServed * 10 >= failedInARow * 9;
        fleet.note(served + " turns of the program were answered whole; the last " + failedInARow
                + " tries reached no runner, and " + firstTurnsServed + " first turns beside them were served"
                + (broken ? ": LOST is broken" : ""));
        return Optional.of(broken);
    }

    private static void restartInTurn(Fleet fleet, long startNanos) {
        if (!Fleet.TROUBLE) {
            return;
        }
        try {
            long dueNanos = startNanos + RESTARTS_AT_MILLIS * 1_000_000;
            for (Fleet.Member each : fleet.stores()) {
                fleet.sleepUntil(dueNanos);
                fleet.signal(each, "TERM");
                fleet.awaitEnd(each);
                fleet.start(each, false);
                dueNanos += RESTART_GAP_MILLIS * 1_000_000;
            }
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}
