package org.parsleydrift.manifest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.testng.annotations.Test;

/** Tests the validation of manifests, which reports every error with its line and column. */
public class ManifestParserTest {
    private static final String VALID = """
            // comment
            {"models": {"m": {"runners": [{"address": "10.0.0.1:80"}]}},
             "agents": {"a": {"model": "m", "budget": {"tokens": 1, "turns": 1, "calls": 0, "seconds": 1}}}}
            """;

    @Test
    public void validManifestIsReadWithDefaults() {
        Manifest manifest = ManifestParser.parse("m.json", VALID);
        assertEquals(manifest.agents().get("a").turnTokens().intValue(), 512);
        assertEquals(manifest.models().get("m").runners().getFirst().slots().intValue(), 8);
    }

    @Test
    public void everyErrorHasLineAndColumn() {
        String invalid = VALID.replace("\"turns\": 1", "\"turns\": 0").replace("\"seconds\": 1", "\"secs\": 1");
        InvalidJsonException exception =
                expectThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", invalid));
        assertEquals(exception.errors().size(), 3, exception.getMessage());
        exception.errors().forEach(error -> assertEquals(error.line(), 3, error.toString()));
    }

    @Test
    public void unknownModelIsRejected() {
        String invalid = VALID.replace("\"model\": \"m\"", "\"model\": \"x\"");
        InvalidJsonException exception =
                expectThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", invalid));
        assertEquals(exception.errors().stream().map(error -> error.pointer()).toList(), List.of("/agents/a/model"));
    }

    @Test
    public void malformedJsonAndDuplicateKeysAreRejected() {
        assertThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", "{"));
        assertThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", "{\"models\":1,\"models\":2}"));
    }
}
