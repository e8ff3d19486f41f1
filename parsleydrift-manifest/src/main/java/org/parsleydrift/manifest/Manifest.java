package org.parsleydrift.manifest;

import java.util.Map;

/**
 * The configuration of a deployment as declared by its operator. A manifest is accepted or rejected as a whole.
 *
 * @param deployment the name of the deployment, for logs; "unnamed" if absent
 * @param weights the weights of the placement policy; all 1 if absent
 * @param models the models by name
 * @param agents the agent programs by name
 * @param tools the tools by name; empty if absent
 * @param services the plain services by name; empty if absent
 */
public record Manifest(
        String deployment,
        PolicyWeights weights,
        Map<String, ModelSpec> models,
        Map<String, AgentSpec> agents,
        Map<String, OperationSpec> tools,
        Map<String, OperationSpec> services) {
    /** Replaces absent values by their defaults and makes defensive copies of the maps. */
    public Manifest {
        deployment = deployment == null ? "unnamed" : deployment;
        weights = weights == null ? new PolicyWeights(1, 1) : weights;
        models = Map.copyOf(models);
        agents = Map.copyOf(agents);
        tools = tools == null ? Map.of() : Map.copyOf(tools);
        services = services == null ? Map.of() : Map.copyOf(services);
    }
}
