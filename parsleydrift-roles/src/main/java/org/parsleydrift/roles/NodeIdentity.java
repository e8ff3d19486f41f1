package org.parsleydrift.roles;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * Name and addresses of an entry node, as published to its peers.
 *
 * @param name name of the VM
 * @param zone availability zone of the VM
 * @param callers address for callers
 * @param link address for other processes of the system
 */
record NodeIdentity(String name, String zone, String callers, String link) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    byte[] toJson() {
        return MAPPER.createObjectNode()
                .put("name", name)
                .put("zone", zone)
                .put("callers", callers)
                .put("link", link)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    static NodeIdentity fromJson(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            return new NodeIdentity(
                    text(root, "name"),
                    text(root, "zone"),
                    Address.parse(text(root, "callers")).toString(),
                    Address.parse(text(root, "link")).toString());
        } catch (IOException | IllegalArgumentException fault) {
            throw new StepException(Step.PARSE, "platform", "invalid node entry: " + fault.getMessage());
        }
    }

    private static String text(JsonNode root, String field) {
        JsonNode value = root.required(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("field " + field + " must be a non-empty string, got " + value);
        }
        return value.asText();
    }
}
