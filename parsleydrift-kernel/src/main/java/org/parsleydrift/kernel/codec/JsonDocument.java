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

/** A JSON document with comments. Validation errors carry line and column. */
public final class JsonDocument {
    /** Reads JSON with comments and writes JSON; property names are in snake case, unknown properties are ignored. */
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
     * Parses a JSON text.
     *
     * @param step the step reported in errors
     * @param name the name of the text reported in errors, for example a file name
     * @param text the JSON text; Java comments are allowed, duplicate keys are not
     * @return the document
     * @throws InvalidJsonException if the text is not well-formed
     */
    public static JsonDocument parse(Step step, String name, String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            return new JsonDocument(name, step, root, locateValues(text));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            int column = location == null ? 1 : location.getColumnNr();
            throw new InvalidJsonException(
                    step, name, List.of(new JsonError(line, column, "", e.getOriginalMessage())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Validates the document against a schema and converts it to a value.
     *
     * @param owner the class in whose package the schema resource is found
     * @param schemaFile the file name of the schema resource
     * @param type the target type
     * @param <T> the target type
     * @return the converted value
     * @throws InvalidJsonException if the document does not match the schema or the target type, with every error found
     * @throws IllegalStateException if there is no such schema resource
     */
    public <T> T read(Class<?> owner, String schemaFile, Class<T> type) {
        Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(readResource(owner, schemaFile));
        List<JsonError> errors = schema.validate(root).stream()
                .map(error -> errorAt(error.getInstanceLocation().toString(), error.getMessage()))
                .sorted(java.util.Comparator.comparingInt(JsonError::line).thenComparingInt(JsonError::column))
                .toList();
        if (!errors.isEmpty()) {
            throw new InvalidJsonException(step, name, errors);
        }
        try {
            return MAPPER.treeToValue(root, type);
        } catch (JsonProcessingException e) {
            throw new InvalidJsonException(step, name, List.of(errorAt("", e.getOriginalMessage())));
        }
    }

    /**
     * Creates an error for a value of this document, for checks that go beyond the schema.
     *
     * @param pointer the JSON pointer of the invalid value
     * @param message the description of the error
     * @return the error with the line and column of the value, or 1 and 1 if there is no such value
     */
    public JsonError errorAt(String pointer, String message) {
        JsonLocation location = locations.get(pointer);
        return location == null
                ? new JsonError(1, 1, pointer, message)
                : new JsonError(location.getLineNr(), location.getColumnNr(), pointer, message);
    }

    private static Map<String, JsonLocation> locateValues(String text) throws IOException {
        Map<String, JsonLocation> locations = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                locations.putIfAbsent(pointer, parser.currentTokenLocation());
            }
        }
        return locations;
    }

    private static String readResource(Class<?> owner, String file) {
        try (InputStream stream = owner.getResourceAsStream(file)) {
            if (stream == null) {
                throw new IllegalStateException("schema resource not found: " + file);
            }
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
