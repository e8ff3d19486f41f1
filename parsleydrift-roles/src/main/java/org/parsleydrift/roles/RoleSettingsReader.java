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
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.QuotaPolicy;

/**
 * Reads and validates settings: JSON with comments. All errors are reported at once; unknown fields are ignored.
 * Validated without a schema library, which would delay the start.
 */
public final class RoleSettingsReader {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    /** The smallest number with which the store set can still be changed. */
    private static final int DEFAULT_TOLERATED_LOSSES = 1;

    /** Long compared with the delay at which nodes exchange their usage. */
    private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 5;

    private final JsonNode root;
    private final List<String> errors = new ArrayList<>();

    private RoleSettingsReader(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads settings from a file.
     *
     * @param file path of the file
     * @return the settings
     * @throws StepException listing all errors; also if the file cannot be read
     */
    public static RoleSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException fault) {
            throw new StepException(Step.CONFIGURE, file.toString(), "cannot be read: " + fault.getMessage());
        }
    }

    /**
     * Reads settings from a text.
     *
     * @param name name of the source, for errors
     * @param text JSON with comments
     * @return the settings
     * @throws StepException listing all errors
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
        RoleSettings settings = reader.readSettings();
        if (!reader.errors.isEmpty()) {
            throw new StepException(Step.CONFIGURE, name, String.join("; ", reader.errors));
        }
        return settings;
    }

    private RoleSettings readSettings() {
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
                quotaPolicy(),
                entry ? contention() : Optional.empty(),
                required("grace_s", text -> Duration.ofMillis((long) (Double.parseDouble(text) * 1000))));
    }

    private QuotaPolicy quotaPolicy() {
        double window = nonNegative("allotment_window_s", DEFAULT_QUOTA_WINDOW_SECONDS);
        if (window == 0) {
            errors.add("/allotment_window_s must be greater than 0");
        }
        return new QuotaPolicy(
                Duration.ofMillis((long) (window * 1000)),
                nonNegative("allotment_slack", 0),
                nonNegative("allotment_overage", 0));
    }

    private Optional<ContentionSettings> contention() {
        JsonNode block = root.path("contention");
        if (block.isMissingNode()) {
            return Optional.empty();
        }
        if (!block.isObject()) {
            errors.add("/contention must be an object, got " + block);
            return Optional.empty();
        }
        ContentionSettings defaults = ContentionSettings.DEFAULTS;
        return Optional.of(new ContentionSettings(
                contentionValue(block, "reserved_share", 0, 0.5, defaults.reservedShare()),
                contentionValue(block, "admit_share", 0.1, 2, defaults.admitShare()),
                contentionValue(block, "floor_share", 0, 0.5, defaults.floorShare()),
                contentionValue(block, "wait_share", 0.1, 0.9, defaults.waitShare()),
                contentionValue(block, "max_retry_after_s", 0.1, 1.3, defaults.maxRetryAfterSeconds()),
                learnSpeeds(block)));
    }

    private boolean learnSpeeds(JsonNode block) {
        JsonNode value = block.path("learn_speeds");
        if (!value.isMissingNode() && !value.isBoolean()) {
            errors.add("/contention/learn_speeds must be true or false, got " + value);
        }
        return value.asBoolean(ContentionSettings.DEFAULTS.learnSpeeds());
    }

    private double contentionValue(JsonNode block, String field, double min, double max, double defaultValue) {
        JsonNode value = block.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            errors.add("/contention/" + field + " must be a number from " + min + " to " + max + ", got " + value);
            return defaultValue;
        }
        return value.asDouble();
    }

    private double nonNegative(String field, double defaultValue) {
        JsonNode value = root.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            errors.add("/" + field + " must be a number of at least 0, got " + value);
            return defaultValue;
        }
        return value.asDouble();
    }

    /** The default is the smallest number of members that keeps a majority after the tolerated losses. */
    private int storeMembers(int minimum) {
        JsonNode value = root.path("store_members");
        if (value.isMissingNode()) {
            return minimum;
        }
        if (!value.isIntegralNumber() || value.asInt() < minimum) {
            errors.add("/store_members must be an integer of at least " + minimum + " for the tolerated losses, got "
                    + value);
        }
        return value.asInt();
    }

    private int toleratedLosses() {
        JsonNode value = root.path("tolerated_losses");
        if (value.isMissingNode()) {
            return DEFAULT_TOLERATED_LOSSES;
        }
        if (!value.isIntegralNumber() || value.asInt() < 0) {
            errors.add("/tolerated_losses must be an integer of at least 0, got " + value);
        }
        return Math.max(DEFAULT_TOLERATED_LOSSES, value.asInt());
    }

    private <T> T required(String field, Function<String, T> reader) {
        JsonNode value = root.path(field);
        if (!value.isValueNode() || value.asText().isBlank()) {
            errors.add("/" + field + " is missing");
            return null;
        }
        try {
            return reader.apply(value.asText());
        } catch (IllegalArgumentException fault) {
            errors.add("/" + field + ": " + fault.getMessage());
            return null;
        }
    }
}
