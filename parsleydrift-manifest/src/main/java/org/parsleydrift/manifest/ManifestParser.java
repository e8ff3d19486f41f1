package org.parsleydrift.manifest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.codec.JsonError;

/** Reads a manifest, whole or not at all. */
public final class ManifestParser {
    private static final String SCHEMA = "manifest.schema.json";

    private ManifestParser() {}

    /**
     * Reads and checks a manifest.
     *
     * @param name the name of the text, for errors
     * @param text JSON with comments
     * @return the manifest
     * @throws InvalidJsonException with every fault, its line and its column
     */
    public static Manifest parse(String name, String text) {
        JsonDocument document = JsonDocument.parse(Step.MANIFEST, name, text);
        Manifest manifest = document.read(ManifestParser.class, SCHEMA, Manifest.class);
        List<JsonError> faults = Stream.concat(unknownModels(document, manifest), twiceUsedNames(document, manifest))
                .toList();
        if (!faults.isEmpty()) {
            throw new InvalidJsonException(Step.MANIFEST, name, faults);
        }
        return manifest;
    }

    private static Stream<JsonError> unknownModels(JsonDocument document, Manifest manifest) {
        return manifest.agents().entrySet().stream()
                .filter(agent -> !manifest.models().containsKey(agent.getValue().model()))
                .map(agent -> document.errorAt(
                        "/agents/" + agent.getKey() + "/model",
                        "no such model: " + agent.getValue().model()));
    }

    private static Stream<JsonError> twiceUsedNames(JsonDocument document, Manifest manifest) {
        Map<String, OperationSpec> services = manifest.services();
        List<JsonError> faults = new ArrayList<>();
        manifest.tools().keySet().stream()
                .filter(services::containsKey)
                .map(tool -> document.errorAt("/tools/" + tool, "a service has the same name"))
                .forEach(faults::add);
        return faults.stream();
    }
}
