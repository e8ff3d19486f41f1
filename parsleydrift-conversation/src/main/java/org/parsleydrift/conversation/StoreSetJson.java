package org.parsleydrift.conversation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.StreamSupport;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Converts store sets to and from JSON: {"epoch": 3, "members": [{"name", "disk", "address"}], "previous": [..]}. */
public final class StoreSetJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StoreSetJson() {}

    /**
     * Serializes a store set.
     *
     * @param set the store set
     * @return JSON in UTF-8
     */
    public static byte[] write(StoreSet set) {
        ObjectNode root = MAPPER.createObjectNode().put("epoch", set.epoch());
        members(root.putArray("members"), set.members());
        members(root.putArray("previous"), set.previous());
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Parses a store set.
     *
     * @param json JSON in UTF-8
     * @return the store set
     * @throws StepException if the JSON is malformed, lacks a field or has a non-integer epoch; a set without members is
     *     valid, as an operator gives up lost disks with it
     */
    public static StoreSet read(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            if (!root.required("epoch").isIntegralNumber()
                    || !root.required("members").isArray()) {
                throw new IllegalArgumentException("epoch must be an integer and members must be an array");
            }
            return new StoreSet(
                    root.required("epoch").asLong(),
                    members(root.required("members")),
                    members(root.required("previous")));
        } catch (IOException | IllegalArgumentException fault) {
            throw new StepException(Step.PARSE, "platform", "invalid store set: " + fault.getMessage());
        }
    }

    private static void members(ArrayNode out, List<StoreMember> members) {
        members.forEach(each -> out.addObject()
                .put("name", each.name())
                .put("disk", each.diskId())
                .put("address", each.address()));
    }

    private static List<StoreMember> members(JsonNode in) {
        return StreamSupport.stream(in.spliterator(), false)
                .map(each -> new StoreMember(
                        each.required("name").asText(),
                        each.required("disk").asText(),
                        each.required("address").asText()))
                .toList();
    }
}
