package org.parsleydrift.manifest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.testng.annotations.Test;

/** Manifests are taken whole or refused whole, with every fault at its place. */
public class ManifestParserTest {
    private static final String GOOD = """
            // comment
            {"models": {"m": {"runners": [{"address": "10.0.0.1:80"}]}},
             "agents": {"a": {"model": "m", "budget": {"tokens": 1, "turns": 1, "calls": 0, "seconds": 1}}}}
            """;

    @Test
    public void goodManifestIsReadWithDefaults() {
        Manifest manifest = ManifestParser.parse("m.json", GOOD);
        assertEquals(manifest.agents().get("a").turnTokens().intValue(), 512);
        assertEquals(manifest.models().get("m").runners().getFirst().slots().intValue(), 8);
    }

    @Test
    public void everyFaultIsNamedWithLineAndColumn() {
        String bad = GOOD.replace("\"turns\": 1", "\"turns\": 0").replace("\"seconds\": 1", "\"secs\": 1");
        InvalidJsonException faults =
                expectThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", bad));
        assertEquals(faults.errors().size(), 3, faults.getMessage());
        faults.errors().forEach(fault -> assertEquals(fault.line(), 3, fault.toString()));
    }

    @Test
    public void unknownModelIsAFault() {
        String bad = GOOD.replace("\"model\": \"m\"", "\"model\": \"x\"");
        InvalidJsonException faults =
                expectThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", bad));
        assertEquals(faults.errors().stream().map(fault -> fault.pointer()).toList(), List.of("/agents/a/model"));
    }

    @Test
    public void brokenJsonAndDoubledKeysAreFaults() {
        assertThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", "{"));
        assertThrows(InvalidJsonException.class, () -> ManifestParser.parse("m.json", "{\"models\":1,\"models\":2}"));
    }
}
