package org.parsleydrift.roles;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.QuotaPolicy;

/**
 * Reads and checks settings: JSON with comments. All faults are told at once; fields that are not known are passed over.
 * Checked by hand and not by a schema library, which would double the time from start to ready.
 */
public final class RoleSettingsReader {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    /** With three store VMs one may be lost; a set that wants fewer could not be changed. */
    private static final int DEFAULT_TOLERATED_LOSSES = 1;

    /** Long beside the tenths of a second after which nodes know of each other's requests. */
    private static final double DEFAULT_ALLOTMENT_WINDOW_SECONDS = 5;

    private final JsonNode root;
    private final List<String> faults = new ArrayList<>();

    private RoleSettingsReader(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings
     * @throws StepException with every fault
     */
    public static RoleSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException fault) {
            throw new StepException(Step.CONFIGURE, file.toString(), "can't be read: " + fault.getMessage());
        }
    }

    /**
     * Reads a text.
     *
     * @param name its name, for errors
     * @param text the text
     * @return the settings
     * @throws StepException with every fault
     */
    public static RoleSettings parse(String name, String text) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException fault) {
            throw new StepException(
                    Step.CONFIGURE,
                    name,
                    "line " + fault.getLocation().getLineNr() + " column "
                            + fault.getLocation().getColumnNr() + ": " + fault.getOriginalMessage());
        }
        RoleSettingsReader reader = new RoleSettingsReader(root);
        RoleSettings settings = reader.settings();
        if (!reader.faults.isEmpty()) {
            throw new StepException(Step.CONFIGURE, name, String.join("; ", reader.faults));
        }
        return settings;
    }

    private RoleSettings settings() {
        RoleKind role = required("role", text -> RoleKind.valueOf(text.toUpperCase(Locale.ROOT)));
        boolean entry = role == RoleKind.ENTRY;
        int toleratedLosses = role == RoleKind.STORE ? toleratedLosses() : 0;
        return new RoleSettings(
                role,
                required("vm", Function.identity()),
                required("zone", Function.identity()),
                required("link", Address::parse),
                entry ? Optional.ofNullable(required("callers", Address::parse)) : Optional.empty(),
                entry ? Optional.ofNullable(required("readiness", Address::parse)) : Optional.empty(),
                entry ? Optional.ofNullable(required("directory", Address::parse)) : Optional.empty(),
                required("metrics", Address::parse),
                required("platform", Function.identity()),
                required("outside", Function.identity()),
                role == RoleKind.STORE ? Optional.ofNullable(required("data_folder", Path::of)) : Optional.empty(),
                root.path("first_start").asBoolean(false),
                toleratedLosses,
                role == RoleKind.STORE ? storeMembers(2 * toleratedLosses + 1) : 0,
                allotmentRule(),
                required("grace_s", text -> Duration.ofMillis((long) (Double.parseDouble(text) * 1000))));
    }

    private QuotaPolicy allotmentRule() {
        double window = number("allotment_window_s", DEFAULT_ALLOTMENT_WINDOW_SECONDS);
        if (window == 0) {
            faults.add("/allotment_window_s must be above 0");
        }
        return new QuotaPolicy(Duration.ofMillis((long) (window * 1000)), number("allotment_slack", 0));
    }

    private double number(String field, double usual) {
        JsonNode value = root.path(field);
        if (value.isMissingNode()) {
            return usual;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            faults.add("/" + field + " is no number from 0");
            return usual;
        }
        return value.asDouble();
    }

    /** Unless said otherwise the least number of which a majority is left when as many disks as may be are lost at once. */
    private int storeMembers(int least) {
        JsonNode value = root.path("store_members");
        if (value.isMissingNode()) {
            return least;
        }
        if (!value.isIntegralNumber() || value.asInt() < least) {
            faults.add("/store_members is no whole number from " + least + ", which the tolerated losses want");
        }
        return value.asInt();
    }

    private int toleratedLosses() {
        JsonNode value = root.path("tolerated_losses");
        if (value.isMissingNode()) {
            return DEFAULT_TOLERATED_LOSSES;
        }
        if (!value.isIntegralNumber() || value.asInt() < 0) {
            faults.add("/tolerated_losses is no whole number from 0");
        }
        return Math.max(DEFAULT_TOLERATED_LOSSES, value.asInt());
    }

    private <T> T required(String field, Function<String, T> reader) {
        JsonNode value = root.path(field);
        if (!value.isValueNode() || value.asText().isBlank()) {
            faults.add("/" + field + " is missing");
            return null;
        }
        try {
            return reader.apply(value.asText());
        } catch (IllegalArgumentException fault) {
            faults.add("/" + field + ": " + fault.getMessage());
            return null;
        }
    }
}
