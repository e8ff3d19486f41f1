package org.parsleydrift.manifest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.codec.JsonError;

/** Parses and validates manifests. */
public final class ManifestParser {
    private static final String SCHEMA_FILE = "manifest.schema.json";

    private ManifestParser() {}

    /**
     * Parses and validates a manifest.
     *
     * @param name the name of the text reported in errors, for example a file name
     * @param text the manifest as JSON with comments
     * @return the manifest
     * @throws InvalidJsonException if the manifest is invalid, with the line and column of every error found
     */
    public static Manifest parse(String name, String text) {
        JsonDocument document = JsonDocument.parse(Step.MANIFEST, name, text);
        Manifest manifest = document.read(ManifestParser.class, SCHEMA_FILE, Manifest.class);
        List<JsonError> errors = Stream.concat(unknownModels(document, manifest), duplicateNames(document, manifest))
                .toList();
        if (!errors.isEmpty()) {
            throw new InvalidJsonException(Step.MANIFEST, name, errors);
        }
        return manifest;
    }

    private static Stream<JsonError> unknownModels(JsonDocument document, Manifest manifest) {
        return manifest.agents().entrySet().stream()
                .filter(agent -> !manifest.models().containsKey(agent.getValue().model()))
                .map(agent -> document.errorAt(
                        "/agents/" + agent.getKey() + "/model",
                        "unknown model: " + agent.getValue().model()));
    }

    private static Stream<JsonError> duplicateNames(JsonDocument document, Manifest manifest) {
        Map<String, OperationSpec> services = manifest.services();
        List<JsonError> errors = new ArrayList<>();
        manifest.tools().keySet().stream()
                .filter(services::containsKey)
                .map(tool -> document.errorAt("/tools/" + tool, "duplicate name: a service has the same name"))
                .forEach(errors::add);
        return errors.stream();
    }
}
