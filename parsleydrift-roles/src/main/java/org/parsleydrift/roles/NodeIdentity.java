package org.parsleydrift.roles;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * An entry node as others know it.
 *
 * @param name the VM's name
 * @param zone its availability zone
 * @param callers address for callers
 * @param link address for other processes of the system
 */
record NodeIdentity(String name, String zone, String callers, String link) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    byte[] json() {
        return MAPPER.createObjectNode()
                .put("name", name)
                .put("zone", zone)
                .put("callers", callers)
                .put("link", link)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    static NodeIdentity read(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            return new NodeIdentity(
                    root.required("name").asText(),
                    root.required("zone").asText(),
                    root.required("callers").asText(),
                    root.required("link").asText());
        } catch (IOException | IllegalArgumentException fault) {
            throw new StepException(Step.PARSE, "platform", "bad node entry: " + fault.getMessage());
        }
    }
}
