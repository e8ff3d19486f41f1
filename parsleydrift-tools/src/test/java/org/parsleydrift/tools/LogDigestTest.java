package org.parsleydrift.tools;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class LogDigestTest {
    private static final Stream<String> LINES = Stream.of(
            "event=request_ended request=q1 program=p1 outcome=refused cause=\"engines are full\" ms=20 at_ms=1020",
            "event=request_placed request=q2 program=p1 prompt=900 missing=300 at_ms=1550",
            "event=request_ended request=q2 program=p1 outcome=answered cause=stream ms=300 at_ms=1800",
            "event=request_placed request=q3 program=p2 prompt=800 missing=800 at_ms=2200",
            "event=request_ended request=q3 program=p2 outcome=timeout cause=\"at the runner\" ms=900 at_ms=3000",
            "event=runner_added runner=r1 at_ms=900",
            "event=log_lines_left_out kind=x count=7 at_ms=3000",
            "no line of ours");

    @Test
    public void reportsBySecondAndByCause() {
        List<String> report = new LogDigest(LINES).report();
        assertTrue(report.getFirst().startsWith("3 requests; 7 log lines were left out"), report.getFirst());
        assertTrue(report.getFirst().endsWith("1 programs met a refusal, 1 of them were served later"));
        assertEquals(report.get(2).trim().replaceAll(" +", " "), "0 2 1 1 0 50 50 900 300");
        assertEquals(report.get(3).trim().replaceAll(" +", " "), "1 1 0 0 1 100 100 800 800");
        assertTrue(report.stream()
                .anyMatch(line -> line.contains("1 timeout \"at the runner\"; median after 900 ms; q3")));
    }

    @Test
    public void digestCommandRequiresLogs() {
        PrintStream print = new PrintStream(new ByteArrayOutputStream(), true, UTF_8);
        assertEquals(Parsleydrift.run(List.of("digest"), print, print), ExitCode.USAGE);
    }
}
