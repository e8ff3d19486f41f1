package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.stream.Stream;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.ContentionSettings;
import org.testng.annotations.Test;

public class RoleSettingsReaderTest {
    private static final String STORE = """
            { // a store VM
              "role": "store", "outside": "platform", "vm": "s1", "zone": "a", "link": "10.0.0.1:7300",
              "metrics": "10.0.0.1:9464", "platform": "10.0.0.9:80", "data_folder": "/data", "first_start": true,
              "grace_s": 8.5, "some_later_field": [1, 2]
            }
            """;

    private static final String ENTRY = STORE.replace("\"store\"", "\"entry\"").replace("\"grace_s\"", """
                    "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82", "grace_s\"""");

    @Test
    public void readsJsonWithCommentsAndIgnoresUnknownFields() {
        RoleSettings settings = RoleSettingsReader.parse("settings", STORE);
        assertEquals(settings.role(), RoleKind.STORE);
        assertEquals(settings.link(), new Address("10.0.0.1", 7300));
        assertEquals(settings.grace(), Duration.ofMillis(8500));
        assertTrue(settings.firstStart());
    }

    @Test
    public void reportsAllErrorsAtOnce() {
        String text = STORE.replace("10.0.0.1:7300", "nowhere").replace("\"zone\": \"a\",", "");
        StepException fault = expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", text));
        assertTrue(fault.getMessage().contains("/zone is missing"), fault.getMessage());
        assertTrue(
                fault.getMessage().contains("/link: invalid address 'nowhere', expected IP:PORT"), fault.getMessage());
    }

    @Test
    public void entryRequiresItsAddresses() {
        String text = STORE.replace("\"store\"", "\"entry\"");
        StepException fault = expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", text));
        assertTrue(fault.getMessage().contains("/callers is missing"), fault.getMessage());
    }

    @Test
    public void reportsThePositionOfSyntaxErrors() {
        StepException fault =
                expectThrows(StepException.class, () -> RoleSettingsReader.parse("settings", "{\n\"a\": }"));
        assertTrue(fault.getMessage().contains("line 2"), fault.getMessage());
    }

    @Test
    public void toleratedLossesMustBeAnInteger() {
        assertEquals(RoleSettingsReader.parse("settings", STORE).toleratedLosses(), 1);
        String two = STORE.replace("\"grace_s\"", "\"tolerated_losses\": 2, \"grace_s\"");
        assertEquals(RoleSettingsReader.parse("settings", two).toleratedLosses(), 2);
        StepException fault = expectThrows(
                StepException.class,
                () -> RoleSettingsReader.parse("settings", two.replace("losses\": 2", "losses\": -1")));
        assertTrue(
                fault.getMessage().contains("/tolerated_losses must be an integer of at least 0, got -1"),
                fault.getMessage());
    }

    /** Guards against accepting a store set that is too small for the tolerated losses. */
    @Test
    public void tooFewStoreMembersAreRejected() {
        String two = STORE.replace("\"grace_s\"", "\"tolerated_losses\": 2, \"grace_s\"");
        assertEquals(RoleSettingsReader.parse("settings", two).storeMembers(), 5);
        String six = two.replace("\"grace_s\"", "\"store_members\": 6, \"grace_s\"");
        assertEquals(RoleSettingsReader.parse("settings", six).storeMembers(), 6);
        StepException fault = expectThrows(
                StepException.class,
                () -> RoleSettingsReader.parse("settings", six.replace("members\": 6", "members\": 4")));
        assertTrue(
                fault.getMessage()
                        .contains("/store_members must be an integer of at least 5 for the tolerated losses, got 4"),
                fault.getMessage());
    }

    @Test
    public void quotaWindowMustBePositive() {
        String entry = ENTRY.replace("\"grace_s\"", "\"allotment_window_s\": 2.5, \"grace_s\"");
        assertEquals(RoleSettingsReader.parse("settings", entry).quotaPolicy().window(), Duration.ofMillis(2500));
        StepException fault = expectThrows(
                StepException.class, () -> RoleSettingsReader.parse("settings", entry.replace("2.5", "0")));
        assertTrue(fault.getMessage().contains("/allotment_window_s must be greater than 0"), fault.getMessage());
    }

    /** Guards against contention control in deployments that do not ask for it, and in store processes. */
    @Test
    public void contentionIsOffWithoutItsBlock() {
        String block = "\"contention\": {\"floor_share\": 0.2}, \"grace_s\"";
        assertTrue(RoleSettingsReader.parse("settings", ENTRY).contention().isEmpty());
        assertTrue(RoleSettingsReader.parse("settings", STORE.replace("\"grace_s\"", block))
                .contention()
                .isEmpty());
        assertEquals(
                RoleSettingsReader.parse("settings", ENTRY.replace("\"grace_s\"", block))
                        .contention()
                        .orElseThrow(),
                new ContentionSettings(0, 0.95, 0.2, 0.6, 1, false));
    }

    /** Guards against a partial report of wrong values, and against values outside their range. */
    @Test
    public void contentionValuesOutsideTheirRangesAreAllReported() {
        String block = """
                "contention": {"reserved_share": 0.51, "admit_share": 0.05, "floor_share": -0.1, "wait_share": "high",
                               "max_retry_after_s": 1.4}, "grace_s\"""";
        StepException fault = expectThrows(
                StepException.class, () -> RoleSettingsReader.parse("settings", ENTRY.replace("\"grace_s\"", block)));
        Stream.of(
                        "/contention/reserved_share must be a number from 0.0 to 0.5, got 0.51",
                        "/contention/admit_share must be a number from 0.1 to 2.0, got 0.05",
                        "/contention/floor_share must be a number from 0.0 to 0.5, got -0.1",
                        "/contention/wait_share must be a number from 0.1 to 0.9, got \"high\"",
                        "/contention/max_retry_after_s must be a number from 0.1 to 1.3, got 1.4")
                .forEach(each -> assertTrue(fault.getMessage().contains(each), fault.getMessage()));
        StepException noObject = expectThrows(
                StepException.class,
                () -> RoleSettingsReader.parse(
                        "settings", ENTRY.replace("\"grace_s\"", "\"contention\": true, \"grace_s\"")));
        assertTrue(noObject.getMessage().contains("/contention must be an object, got true"), noObject.getMessage());
    }
}
