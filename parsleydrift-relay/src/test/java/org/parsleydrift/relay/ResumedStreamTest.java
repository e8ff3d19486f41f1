package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.registry.Destination;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Where interrupted streams go on while runners of two software versions serve. */
public class ResumedStreamTest {
    private static final String PATH = "/events/";
    private static final int STREAMS = 8;
    /** Time within which the entry of a runner is confirmed, with a margin for a busy machine. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(10);

    private static final String BUDGET =
            "Parsleydrift-Program: p%d\r\nParsleydrift-Token-Budget: 1000\r\nParsleydrift-Tokens: 10,50\r\n";

    private StreamFleet fleet;

    @BeforeMethod
    public void start() throws IOException {
        fleet = new StreamFleet();
        fleet.addNode("a");
        fleet.addNode("b");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
    }

    /** Requests with a token budget, whose origin is written with the reservation, and without one. */
    @DataProvider
    public static Object[][] budgets() {
        return new Object[][] {{BUDGET}, {""}};
    }

    private void addRunners(int count, String service, String version) throws IOException {
        for (int i = 1; i <= count; i++) {
            fleet.addRunner(service + version + "-" + i, service, version);
        }
    }

    private static String version(String runner) {
        return runner.substring(0, runner.indexOf('-'));
    }

    private static void assertComplete(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.contains("data: e3") && response.endsWith("0\r\n\r\n"), response);
    }

    /** Asserts that a resumption was reported as not run, with a time to come back, and reached no runner. */
    private void assertRejected(String attempt, String response) {
        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("Retry-After: "), response);
        assertTrue(fleet.runnerOf(attempt).isEmpty());
    }

    /** Guards against a stream that is joined from the events of two software versions. */
    @Test(dataProvider = "budgets")
    public void streamGoesOnAtItsSoftwareVersion(String headers) throws IOException {
        addRunners(3, "s", "v1");
        addRunners(6, "s", "v2");
        List<String> joined = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String budget = headers.formatted(i);
            fleet.beginAndLeave("a", PATH, "begin" + i, budget);
            String runner = fleet.runnerOf("begin" + i).orElseThrow();
            fleet.removeRunner(runner);
            assertComplete(fleet.resume("b", PATH, "resume" + i, "begin" + i, budget));
            String next = fleet.runnerOf("resume" + i).orElseThrow();
            joined.add(version(runner) + " then " + version(next));
            fleet.restoreRunner(runner, "s", version(runner).substring(1));
        }
        assertEquals(
                joined.stream()
                        .filter(each -> !each.equals("sv1 then sv1") && !each.equals("sv2 then sv2"))
                        .toList(),
                List.of());
    }

    /** Guards against guessing the software version of a stream whose beginning is unknown. */
    @Test
    public void streamOfUnknownBeginningIsRejected() throws IOException {
        addRunners(3, "s", "v1");
        addRunners(3, "s", "v2");
        assertRejected("r1", fleet.resume("b", PATH, "r1", "nobody", BUDGET.formatted(1)));
        assertRejected("r2", fleet.resume("b", PATH, "r2", "", BUDGET.formatted(2)));
        assertRejected("r3", fleet.resume("b", PATH, "r3", "", ""));
    }

    /** Guards against rejecting callers that do not name the stream while all streams of their program began alike. */
    @Test
    public void unnamedStreamGoesOnIfItsProgramKnowsOneVersion() throws IOException {
        addRunners(2, "s", "v1");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        fleet.beginAndLeave("a", PATH, "q2", BUDGET.formatted(1));
        addRunners(8, "s", "v2");
        assertComplete(fleet.resume("b", PATH, "q3", "", BUDGET.formatted(1)));
        assertEquals(version(fleet.runnerOf("q3").orElseThrow()), "sv1");
    }

    /** Guards against a guess for callers that do not name the stream and have begun streams at two versions. */
    @Test
    public void unnamedStreamIsRejectedIfItsProgramKnowsTwoVersions() throws IOException {
        addRunners(2, "s", "v1");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        addRunners(2, "s", "v2");
        fleet.removeRunner("sv1-1");
        fleet.removeRunner("sv1-2");
        fleet.beginAndLeave("a", PATH, "q2", BUDGET.formatted(1));
        fleet.restoreRunner("sv1-1", "s", "v1");
        fleet.restoreRunner("sv1-2", "s", "v1");
        assertRejected("q3", fleet.resume("b", PATH, "q3", "", BUDGET.formatted(1)));
    }

    /** Guards against rejecting what could be known: the node at which the stream began is dead. */
    @Test(dataProvider = "budgets")
    public void streamGoesOnAfterItsNodeHasDied(String headers) throws IOException {
        addRunners(2, "s", "v1");
        addRunners(2, "s", "v2");
        String budget = headers.formatted(1);
        try (Socket caller = fleet.send("a", PATH, "q1", budget)) {
            StreamFleet.readUntil(caller, "id: 2\n");
            fleet.kill("a");
        }
        String began = version(fleet.runnerOf("q1").orElseThrow());
        assertComplete(fleet.resume("b", PATH, "q2", "q1", budget));
        assertEquals(version(fleet.runnerOf("q2").orElseThrow()), began);
    }

    /** Guards against a stream that begins while one version is known and goes on at another that has come since. */
    @Test(dataProvider = "budgets")
    public void versionThatAppearsLaterDoesNotTakeStreamOver(String headers) throws IOException {
        addRunners(2, "s", "v1");
        String budget = headers.formatted(1);
        fleet.beginAndLeave("a", PATH, "q1", budget);
        addRunners(8, "s", "v2");
        fleet.removeRunner(fleet.runnerOf("q1").orElseThrow());
        fleet.addNode("started");
        assertComplete(fleet.resume("started", PATH, "q2", "q1", budget));
        assertEquals(version(fleet.runnerOf("q2").orElseThrow()), "sv1");
    }

    /** Guards against a wait until the deadline for a version of which no runner is left. */
    @Test
    public void streamWithoutRunnerOfItsVersionIsRejected() throws IOException {
        addRunners(1, "s", "v1");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        addRunners(2, "s", "v2");
        fleet.removeRunner("sv1-1");
        assertRejected("q2", fleet.resume("b", PATH, "q2", "q1", BUDGET.formatted(1)));
        fleet.restoreRunner("sv1-1", "s", "v1");
        assertComplete(fleet.resume("b", PATH, "q3", "q1", BUDGET.formatted(1)));
        assertEquals(fleet.runnerOf("q3").orElseThrow(), "sv1-1");
    }

    /** Guards against waiting on for a version whose last runner leaves while the request is in the queue. */
    @Test
    public void waitingStreamIsRejectedWhenItsVersionIsGone() throws IOException {
        addRunners(1, "s", "v1");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        List<Socket> open = new ArrayList<>();
        for (int i = 0; i <= Candidate.maxLoad(StreamFleet.SLOTS, true); i++) {
            open.add(fleet.send("b", PATH, "busy" + i, BUDGET.formatted(100 + i)));
        }
        fleet.awaitQueued("b", 1);
        try (Socket waiting =
                fleet.send("b", PATH, "q2", "Last-Event-Id: 2\r\nParsleydrift-Resumes: q1\r\n" + BUDGET.formatted(1))) {
            fleet.awaitQueued("b", 2);
            addRunners(1, "s", "v2");
            fleet.removeRunner("sv1-1");
            String response = StreamFleet.readUntil(waiting, "\r\n\r\n");
            assertRejected("q2", response);
            // The delay of a request that has waited in vain until its wait is over is longer.
            assertTrue(response.contains("Retry-After: 0.1"), response);
        }
        for (Socket each : open) {
            each.close();
        }
    }

    /** Guards against a guess by a node that is cut off from the store VMs, which hold the origins. */
    @Test
    public void nodeCutOffFromStoresDoesNotGuess() throws IOException {
        addRunners(2, "s", "v1");
        addRunners(2, "s", "v2");
        fleet.beginAndLeave("a", PATH, "q1", "");
        fleet.setPartitioned("b", true);
        assertRejected("q2", fleet.resume("b", PATH, "q2", "q1", ""));
        fleet.setPartitioned("b", false);
        assertComplete(fleet.resume("b", PATH, "q3", "q1", ""));
    }

    /** Guards against losing an origin with one of the store VMs that hold it. */
    @Test(dataProvider = "budgets")
    public void originSurvivesLossOfOneStore(String headers) throws IOException {
        addRunners(2, "s", "v1");
        addRunners(2, "s", "v2");
        for (int i = 1; i <= 3; i++) {
            String budget = headers.formatted(i);
            fleet.beginAndLeave("a", PATH, "begin" + i, budget);
            fleet.setPartitioned("store" + i, true);
            assertComplete(fleet.resume("b", PATH, "resume" + i, "begin" + i, budget));
            fleet.setPartitioned("store" + i, false);
        }
    }

    /** Guards against rejecting a third attempt that names the second one, which brought no event. */
    @Test
    public void chainOfResumptionsGoesOn() throws IOException {
        addRunners(2, "s", "v1");
        addRunners(6, "s", "v2");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        String began = version(fleet.runnerOf("q1").orElseThrow());
        fleet.resume("b", PATH, "q2", "q1", BUDGET.formatted(1));
        assertComplete(fleet.resume("a", PATH, "q3", "q2", BUDGET.formatted(1)));
        assertEquals(version(fleet.runnerOf("q3").orElseThrow()), began);
    }

    /** Guards against a stream that goes on at a service to which its route has moved meanwhile. */
    @Test
    public void streamGoesOnAtItsServiceOnly() throws IOException {
        addRunners(2, "s", "v1");
        addRunners(2, "t", "v1");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        fleet.setDestinations(new Destination("s", 1), new Destination("t", 99));
        assertComplete(fleet.resume("b", PATH, "q2", "q1", BUDGET.formatted(1)));
        assertTrue(fleet.runnerOf("q2").orElseThrow().startsWith("sv1"));
        fleet.setDestinations(new Destination("t", 1));
        assertRejected("q3", fleet.resume("b", PATH, "q3", "q1", BUDGET.formatted(1)));
    }

    /** Guards against a stored turn that holds only the events after an interruption. */
    @Test
    public void storedTurnIsNotResumed() throws IOException {
        addRunners(2, "s", "v1");
        fleet.beginAndLeave("a", "/stored/", "q1", BUDGET.formatted(1));
        assertRejected("q2", fleet.resume("b", "/stored/", "q2", "q1", BUDGET.formatted(1)));
    }

    /** Guards against a second attempt inside one answer at a runner of another version than the first one chosen. */
    @Test
    public void attemptThatIsNotRunGoesOnAtTheSameVersion() throws IOException {
        addRunners(3, "s", "v1");
        addRunners(6, "s", "v2");
        fleet.beginAndLeave("a", PATH, "q1", BUDGET.formatted(1));
        String began = version(fleet.runnerOf("q1").orElseThrow());
        fleet.rejectAt(began + "-1", began + "-2");
        assertComplete(fleet.resume("b", PATH, "q2", "q1", BUDGET.formatted(1)));
        assertTrue(fleet.runnersOf("q2").stream().allMatch(each -> version(each).equals(began)));
    }

    /** Guards against a runner that is back at its address as another version before the platform has its new entry. */
    @Test(dataProvider = "budgets")
    public void runnerThatMayHaveRestartedDoesNotContinueStreams(String headers) throws IOException {
        addRunners(1, "s", "v1");
        String budget = headers.formatted(1);
        fleet.setEntryStaleness(Duration.ofSeconds(3));
        try (Socket caller = fleet.send("a", PATH, "q1", budget)) {
            StreamFleet.readUntil(caller, "id: 2\n");
            fleet.restartRunner("sv1-1");
            StreamFleet.readUntil(caller, "id: 3\n");
        }
        assertRejected("q2", fleet.resume("a", PATH, "q2", "q1", budget));
        assertRejected("q3", fleet.resume("b", PATH, "q3", "q1", budget));
        fleet.beginAndLeave("b", PATH, "q4", headers.formatted(2));
        assertRejected("q5", fleet.resume("a", PATH, "q5", "q4", headers.formatted(2)));
    }

    /** Guards against streams that are rejected although the platform has confirmed the entry of their runner since. */
    @Test
    public void runnerWhoseEntryIsConfirmedContinuesStreams() throws IOException {
        addRunners(1, "s", "v1");
        try (Socket caller = fleet.send("a", PATH, "q1", "")) {
            StreamFleet.readUntil(caller, "id: 2\n");
            fleet.restartRunner("sv1-1");
            StreamFleet.readUntil(caller, "id: 3\n");
        }
        RuntimeClock clock = new SystemClock();
        long endNanos = clock.nanos() + CONFIRMATION_TIMEOUT.toNanos();
        int attempt = 1;
        String response;
        do {
            response = fleet.resume("b", PATH, "r" + ++attempt, "q1", "");
        } while (response.startsWith("HTTP/1.1 503 ") && clock.nanos() - endNanos < 0);
        assertComplete(response);
    }
}
