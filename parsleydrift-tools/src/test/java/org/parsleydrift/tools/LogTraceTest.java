package org.parsleydrift.tools;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

public class LogTraceTest {
    private static final List<LogTrace.Line> LINES = List.of(
            new LogTrace.Line("e1", "event=request_ended request=q1 program=p1 outcome=stream_cut at_ms=5000"),
            new LogTrace.Line("e1", "event=request_placed request=q1 program=p1 runner=r7 at_ms=4900"),
            new LogTrace.Line("e2", "event=runner_removed runner=r7 at_ms=4950"),
            new LogTrace.Line("e2", "event=runner_removed runner=r8 at_ms=4951"),
            new LogTrace.Line("s1", "event=store_set_adopted epoch=4 at_ms=3500"),
            new LogTrace.Line("s1", "event=store_set_adopted epoch=3 at_ms=100"),
            new LogTrace.Line("e3", "event=platform_unreachable kind=RUNNERS at_ms=4800"),
            new LogTrace.Line("e1", "event=request_placed request=q11 program=p1 runner=r9 at_ms=4960"));

    private static List<String> trace(String id) {
        return new LogTrace(LINES).of(id).stream().map(LogTrace.Line::text).toList();
    }

    @Test
    public void traceContainsRequestRunnerAndStateChanges() {
        assertEquals(
                trace("q1"),
                List.of(
                        LINES.get(4).text(),
                        LINES.get(1).text(),
                        LINES.get(2).text(),
                        LINES.get(0).text()));
    }

    @Test
    public void idsAreMatchedWhole() {
        assertTrue(trace("q11").stream().noneMatch(line -> line.contains("request=q1 ")));
        assertEquals(trace("unknown"), List.of());
    }

    @Test
    public void explainCommandReadsSeveralLogs() throws IOException {
        Path first = Files.createTempFile("e1", ".log");
        Path second = Files.createTempFile("e2", ".log");
        Files.writeString(first, LINES.get(0).text() + "\n" + LINES.get(1).text() + "\n");
        Files.writeString(second, LINES.get(2).text() + "\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true, UTF_8);
        int code = Parsleydrift.run(List.of("--log", first + "," + second, "explain", "q1"), print, print);
        assertEquals(code, ExitCode.OK);
        assertEquals(out.toString(UTF_8).lines().count(), 3);
        assertEquals(
                Parsleydrift.run(List.of("--log", first.toString(), "explain", "nobody"), print, print),
                ExitCode.REFUSED);
        Files.delete(first);
        Files.delete(second);
    }
}
