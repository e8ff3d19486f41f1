package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import org.parsleydrift.kernel.StepException;
import org.testng.annotations.Test;

public class RoleSettingsReaderTest {
    private static final String STORE = """
            { // a store VM
              "role": "store", "outside": "platform", "vm": "s1", "zone": "a", "link": "10.0.0.1:7300",
              "metrics": "10.0.0.1:9464", "platform": "10.0.0.9:80", "data_folder": "/data", "first_start": true,
              "grace_s": 8.5, "some_later_field": [1, 2]
            }
            """;

    @Test
    public void readsJsonWithCommentsAndPassesOverUnknownFields() {
        RoleSettings settings = RoleSettingsReader.parse("settings", STORE);
        assertEquals(settings.role(), RoleKind.STORE);
        assertEquals(settings.link(), new Address("10.0.0.1", 7300));
        assertEquals(settings.grace(), Duration.ofMillis(8500));
        assertTrue(settings.firstStart());
    }

    @Test
    public void tellsAllFaultsAtOnce() {
        String text = STORE.replace("10.0.0.1:7300", "nowhere").replace("\"zone\": \"a\",", "");
        StepException fault = expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", text));
        assertTrue(fault.getMessage().contains("/zone is missing"), fault.getMessage());
        assertTrue(fault.getMessage().contains("/link: 'nowhere' is not IP:PORT"), fault.getMessage());
    }

    @Test
    public void anEntryNeedsItsAddresses() {
        String text = STORE.replace("\"store\"", "\"entry\"");
        StepException fault = expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", text));
        assertTrue(fault.getMessage().contains("/callers is missing"), fault.getMessage());
    }

    @Test
    public void tellsWhereTheTextBreaksOff() {
        StepException fault =
                expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", "{\n\"a\": }"));
        assertTrue(fault.getMessage().contains("line 2"), fault.getMessage());
    }

    @Test
    public void lossesAreNumbers() {
        assertEquals(RoleSettingsReader.parse("settings", STORE).toleratedLosses(), 1);
        String two = STORE.replace("\"grace_s\"", "\"tolerated_losses\": 2, \"grace_s\"");
        assertEquals(RoleSettingsReader.parse("settings", two).toleratedLosses(), 2);
        StepException fault = expectThrows(
                StepException.class,
                () -> RoleSettingsReader.parse("settings", two.replace("losses\": 2", "losses\": -1")));
        assertTrue(fault.getMessage().contains("/tolerated_losses is no whole number"), fault.getMessage());
    }
}
