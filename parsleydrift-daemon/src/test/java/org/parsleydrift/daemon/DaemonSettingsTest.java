package org.parsleydrift.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.testng.annotations.Test;

/** Tests parsing and validation of the settings file. */
public class DaemonSettingsTest {
    @Test
    public void commentsAndTimingsAreRead() {
        DaemonSettings settings = DaemonSettings.parse("s.json", """
                {"vm": "vm1", "zone": "a", /* callers */ "http": "10.0.0.1:80", "link": "10.0.0.1:81",
                 "platform": "10.0.0.9:80", "timings": {"heartbeat_ms": 100, "platform_writes_per_second": 50}}
                """);
        assertEquals(settings.nodeSettings().timings().heartbeatInterval(), Duration.ofMillis(100));
        assertEquals(settings.nodeSettings().timings().platformWritesPerSecond(), 50);
        assertEquals(settings.plugin(), "http");
    }

    @Test
    public void allErrorsAreReportedTogether() {
        InvalidJsonException faults = expectThrows(
                InvalidJsonException.class,
                () -> DaemonSettings.parse("s.json", "{\"vm\": \"a b\",\n \"zone\": \"\",\n \"hpt\": 1}"));
        assertEquals(faults.errors().size(), 6, faults.getMessage());
    }
}
