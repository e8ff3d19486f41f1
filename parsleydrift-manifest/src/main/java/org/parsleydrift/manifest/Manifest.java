package org.parsleydrift.manifest;

import java.util.Map;

/**
 * What an operator declares. Accepted whole or refused whole; once accepted it is what runs everywhere.
 *
 * @param deployment its name, for logs
 * @param weights weights of the placement policy
 * @param models models by name
 * @param agents agent programs by name
 * @param tools tools by name
 * @param services plain services by name
 */
public record Manifest(
        String deployment,
        PolicyWeights weights,
        Map<String, ModelSpec> models,
        Map<String, AgentSpec> agents,
        Map<String, OperationSpec> tools,
        Map<String, OperationSpec> services) {
    /** Fills in defaults and copies the maps. */
    public Manifest {
        deployment = deployment == null ? "unnamed" : deployment;
        weights = weights == null ? new PolicyWeights(1, 1) : weights;
        models = Map.copyOf(models);
        agents = Map.copyOf(agents);
        tools = tools == null ? Map.of() : Map.copyOf(tools);
        services = services == null ? Map.of() : Map.copyOf(services);
    }
}
