package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.parsleydrift.placement.PromptPart;
import org.testng.annotations.Test;

/** What headers of a request say. */
public class RequestFactsTest {
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
        return RequestFacts.read(headers, HeaderNames.defaults()).orElseThrow().prompt();
    }

    @Test
    public void readsThePartsInOrder() {
        assertEquals(prompt("a1:512, b2:40", "", ""), List.of(new PromptPart("a1", 512), new PromptPart("b2", 40)));
    }

    /** Symptom: a proper request is refused for a header that only helps to place it. */
    @Test
    public void partsThatMakeNoSenseCountAsNone() {
        List.of("", "x", "a:", ":5", "a:-5", "a:5,,b:6", "a:5,", "a:99999999999", "a:1.5")
                .forEach(parts -> assertEquals(prompt(parts, "", ""), List.of(), parts));
    }

    /** Turns of a program that says nothing of its prompts are kept together all the same. */
    @Test
    public void withoutPartsTheProgramIsOne() {
        List<PromptPart> whole = prompt("", "p1", "100");
        assertEquals(whole.stream().map(PromptPart::id).toList(), List.of("p1"));
        assertTrue(whole.getFirst().tokens() > 0);
    }
}
