package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.OptionalLong;
import org.parsleydrift.placement.PromptPart;
import org.testng.annotations.Test;

/** Parsing of request headers. */
public class RequestParametersTest {
    private static List<PromptPart> prompt(String parts, String program, String budget) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set("Parsleydrift-Request", "q1");
        headers.set("Parsleydrift-Prompt-Parts", parts);
        if (!program.isEmpty()) {
            headers.set("Parsleydrift-Program", program);
        }
        if (!budget.isEmpty()) {
            headers.set("Parsleydrift-Token-Budget", budget);
        }
        return RequestParameters.parse(headers, HeaderNames.defaults())
                .orElseThrow()
                .prompt();
    }

    @Test
    public void parsesPartsInOrder() {
        assertEquals(prompt("a1:512, b2:40", "", ""), List.of(new PromptPart("a1", 512), new PromptPart("b2", 40)));
    }

    /** A malformed header that only affects placement must not lead to a rejection. */
    @Test
    public void malformedPartsAreIgnored() {
        List.of("", "x", "a:", ":5", "a:-5", "a:5,,b:6", "a:5,", "a:99999999999", "a:1.5")
                .forEach(parts -> assertEquals(prompt(parts, "", ""), List.of(), parts));
    }

    /** Turns of a program that sends no prompt parts still share one part. */
    @Test
    public void programIsOnePartByDefault() {
        List<PromptPart> prompt = prompt("", "p1", "100");
        assertEquals(prompt.stream().map(PromptPart::id).toList(), List.of("p1"));
        assertTrue(prompt.getFirst().tokens() > 0);
    }

    /** A malformed or negative time of the program only affects the order of requests, so it counts as absent. */
    @Test
    public void malformedProgramDeadlineIsAbsent() {
        assertEquals(programDeadline("1500"), OptionalLong.of(1500));
        List.of("", "-1", "x", "1.5", "9999999999999999999999")
                .forEach(text -> assertEquals(programDeadline(text), OptionalLong.empty(), text));
    }

    private static OptionalLong programDeadline(String text) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set("Parsleydrift-Request", "q1").set("Parsleydrift-Program-Deadline-Ms", text);
        return RequestParameters.parse(headers, HeaderNames.defaults())
                .orElseThrow()
                .programDeadlineMillis();
    }
}
