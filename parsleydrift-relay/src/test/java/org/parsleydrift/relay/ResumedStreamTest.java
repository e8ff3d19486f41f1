package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Where interrupted streams go on while runners of two software versions serve. */
public class ResumedStreamTest {
    private static final String PATH = "/events/";
    private static final int STREAMS = 8;
    private static final String BUDGET =
            "Parsleydrift-Program: p%d\r\nParsleydrift-Token-Budget: 1000\r\nParsleydrift-Tokens: 10,50\r\n";

    private StreamFleet fleet;

    @BeforeMethod
    public void start() throws IOException {
        fleet = new StreamFleet();
        fleet.addNode("a");
        fleet.addNode("b");
        addRunners(3, "v1");
        addRunners(6, "v2");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
    }

    private void addRunners(int count, String version) throws IOException {
        for (int i = 1; i <= count; i++) {
            fleet.addRunner(version + "-" + i, "s", version);
        }
    }

    private static String version(String runner) {
        return runner.substring(0, runner.indexOf('-'));
    }

    /** Guards against a stream that is joined from the events of two software versions. */
    @Test
    public void streamGoesOnAtItsSoftwareVersion() throws IOException {
        List<String> joined = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String budget = BUDGET.formatted(i);
            fleet.beginAndLeave("a", PATH, "begin" + i, budget);
            String runner = fleet.runnerOf("begin" + i).orElseThrow();
            fleet.removeRunner(runner);
            String response = fleet.resume("b", PATH, "resume" + i, "begin" + i, budget);
            assertTrue(response.contains("data: e3") && response.contains("data: e4"), response);
            String next = fleet.runnerOf("resume" + i).orElseThrow();
            joined.add(version(runner) + " then " + version(next));
            fleet.restoreRunner(runner, "s", version(runner));
        }
        assertEquals(
                joined.stream()
                        .filter(each -> !each.equals("v1 then v1") && !each.equals("v2 then v2"))
                        .toList(),
                List.of());
    }

    /** Guards against guessing the software version of a stream whose beginning is unknown. */
    @Test
    public void streamOfUnknownBeginningIsRejected() throws IOException {
        String unknown = fleet.resume("b", PATH, "r1", "nobody", BUDGET.formatted(1));
        String unnamed = fleet.resume("b", PATH, "r2", "", BUDGET.formatted(2));
        List.of(unknown, unnamed).forEach(each -> {
            assertTrue(each.startsWith("HTTP/1.1 503 "), each);
            assertTrue(each.contains("Retry-After: "), each);
        });
        assertEquals(
                fleet.runnerOf("r1").or(() -> fleet.runnerOf("r2")).stream().toList(), List.of());
    }
}
