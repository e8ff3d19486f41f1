import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A conversation whose turns together are longer than 4 MiB, each far below the limit of a request's body, is continued.
 * With TROUBLE=0 its turns are small.
 */
public final class LongConversationCase {
    private static final int LARGE_TURN_BYTES = 900_000;
    private static final int SMALL_TURN_BYTES = 900;
    private static final int TURNS = 7;
    private static final int TRIES = 6;

    private LongConversationCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            List<Deployment.Member> stores = new ArrayList<>();
            List<Deployment.Member> entries = new ArrayList<>();
            if (deployment.startAll(stores, entries, 2)) {
                code = run(deployment, entries, trouble ? LARGE_TURN_BYTES : SMALL_TURN_BYTES) ? 0 : 1;
            }
            for (Deployment.Member each : entries) {
                deployment.noteLog(each, "store_path_broken", 2);
                deployment.noteLog(each, "quorum_lost", 2);
                deployment.noteLog(each, "link_closed", 2);
            }
        } catch (Exception | Error fault) {
            fault.printStackTrace(); // the case could not run: no verdict
        }
        System.exit(code);
    }

    private static boolean run(Deployment deployment, List<Deployment.Member> entries, int turnBytes) throws Exception {
        String previous = "";
        int firstTurns = 0;
        int firstReached = 0;
        StringBuilder expected = new StringBuilder();
        for (int turn = 1; turn <= TURNS; turn++) {
            byte[] input = input(turn, turnBytes);
            expected.append(new String(input));
            String attempt = null;
            int reached = 0;
            for (int attemptNumber = 1; attemptNumber <= TRIES && attempt == null; attemptNumber++) {
                String id = "t" + turn + "x" + attemptNumber;
                Deployment.Member entry = entries.get(attemptNumber % entries.size());
                Http.Answer answer = Http.once(
                        entry.callers, 4000, "POST", "/kept/talk", Deployment.HOST,
                        Runner.turn(id, "p1", previous, 100_000, 48), input);
                reached += deployment.runsOf(id);
                deployment.note("turn " + turn + " try " + attemptNumber + " after '" + previous + "' at " + entry.name
                        + ": status " + answer.status() + (answer.complete() ? " whole" : " cut: " + answer.fault())
                        + ", runs " + deployment.runsOf(id));
                if (answer.status() == 200 && answer.complete()) {
                    attempt = id;
                } else {
                    Thread.sleep(300);
                }
                String first = "f" + id;
                Http.Answer beginning = Http.once(
                        entry.callers, 4000, "POST", "/kept/talk", Deployment.HOST,
                        Runner.turn(first, "q" + id, "", 100_000, 48), "hello".getBytes());
                firstTurns++;
                firstReached += deployment.runsOf(first) > 0 ? 1 : 0;
                deployment.note("first turn of another program at " + entry.name + ": status " + beginning.status()
                        + (beginning.complete() ? " whole" : " cut") + ", runs " + deployment.runsOf(first));
            }
            if (attempt == null) {
                deployment.note("turn " + turn + " names a turn that was answered whole, and "
                        + (reached == 0 ? "reached no runner" : "was not answered whole") + " in " + TRIES + " tries; "
                        + firstReached + " of " + firstTurns + " first turns reached one");
                return reached > 0 || firstReached * 10 < firstTurns * 9;
            }
            String id = attempt;
            byte[] run = deployment.runners.stream()
                    .flatMap(each -> each.runs.stream())
                    .filter(each -> each.attempt().equals(id))
                    .findFirst()
                    .orElseThrow()
                    .body();
            if (!Arrays.equals(run, expected.toString().getBytes())) {
                deployment.note("the runner's input of turn " + turn + " is not the chain");
                return false;
            }
            expected.append(Runner.output(id));
            previous = id;
        }
        return true;
    }

    private static byte[] input(int turn, int size) {
        StringBuilder text = new StringBuilder();
        while (text.length() < size) {
            text.append("note ").append(turn).append(' ').append(text.length()).append('\n');
        }
        return text.toString().getBytes();
    }
}
