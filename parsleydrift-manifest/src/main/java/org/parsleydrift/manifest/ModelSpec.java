package org.parsleydrift.manifest;

import java.util.List;

/**
 * The declaration of a model.
 *
 * @param runners the runners that serve the model
 */
public record ModelSpec(List<RunnerSpec> runners) {
    /** Makes a defensive copy of the list. */
    public ModelSpec {
        runners = List.copyOf(runners);
    }
}
