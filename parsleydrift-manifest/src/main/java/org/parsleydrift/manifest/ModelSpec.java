package org.parsleydrift.manifest;

import java.util.List;

/**
 * A model and where it runs.
 *
 * @param runners its engines
 */
public record ModelSpec(List<RunnerSpec> runners) {
    /** Copies the list. */
    public ModelSpec {
        runners = List.copyOf(runners);
    }
}
