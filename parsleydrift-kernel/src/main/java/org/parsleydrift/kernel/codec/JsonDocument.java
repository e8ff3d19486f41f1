package org.parsleydrift.kernel.codec;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.parsleydrift.kernel.Step;

/** A JSON text with comments, checked against a schema; its faults carry line and column. */
public final class JsonDocument {
    /** Reads JSON with comments and writes JSON; names in snake case. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();

    private final String name;
    private final Step step;
    private final JsonNode root;
    private final Map<String, JsonLocation> locations;

    private JsonDocument(String name, Step step, JsonNode root, Map<String, JsonLocation> locations) {
        this.name = name;
        this.step = step;
        this.root = root;
        this.locations = locations;
    }

    /**
     * Parses a text.
     *
     * @param step the step to name in errors
     * @param name the name of the text, for errors
     * @param text JSON, comments allowed
     * @return the document
     * @throws InvalidJsonException if it is no JSON
     */
    public static JsonDocument parse(Step step, String name, String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            return new JsonDocument(name, step, root, locate(text));
        } catch (JsonProcessingException fault) {
            JsonLocation at = fault.getLocation();
            int line = at == null ? 1 : at.getLineNr();
            int column = at == null ? 1 : at.getColumnNr();
            throw new InvalidJsonException(
                    step, name, List.of(new JsonError(line, column, "", fault.getOriginalMessage())));
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    /**
     * Checks the document against a schema that stands beside a class, and reads it.
     *
     * @param owner the class beside which the schema stands
     * @param schemaFile the schema's file name
     * @param type the type to make
     * @param <T> the type to make
     * @return the value
     * @throws InvalidJsonException with every fault, if there is one
     */
    public <T> T read(Class<?> owner, String schemaFile, Class<T> type) {
        Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(resource(owner, schemaFile));
        List<JsonError> faults = schema.validate(root).stream()
                .map(error -> errorAt(error.getInstanceLocation().toString(), error.getMessage()))
                .sorted(java.util.Comparator.comparingInt(JsonError::line).thenComparingInt(JsonError::column))
                .toList();
        if (!faults.isEmpty()) {
            throw new InvalidJsonException(step, name, faults);
        }
        try {
            return MAPPER.treeToValue(root, type);
        } catch (JsonProcessingException fault) {
            throw new InvalidJsonException(step, name, List.of(errorAt("", fault.getOriginalMessage())));
        }
    }

    /**
     * Places a fault that a check of meaning found.
     *
     * @param pointer the JSON pointer of the faulty value
     * @param message what is wrong
     * @return the fault with its line and column
     */
    public JsonError errorAt(String pointer, String message) {
        JsonLocation at = locations.get(pointer);
        return at == null
                ? new JsonError(1, 1, pointer, message)
                : new JsonError(at.getLineNr(), at.getColumnNr(), pointer, message);
    }

    private static Map<String, JsonLocation> locate(String text) throws IOException {
        Map<String, JsonLocation> locations = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                locations.putIfAbsent(pointer, parser.currentTokenLocation());
            }
        }
        return locations;
    }

    private static String resource(Class<?> owner, String file) {
        try (InputStream stream = owner.getResourceAsStream(file)) {
            if (stream == null) {
                throw new IllegalStateException("no resource " + file);
            }
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }
}
