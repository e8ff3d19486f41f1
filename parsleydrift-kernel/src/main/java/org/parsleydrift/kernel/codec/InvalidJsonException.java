package org.parsleydrift.kernel.codec;

import java.util.List;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** A JSON text that was refused, with every fault found in it. */
public final class InvalidJsonException extends StepException {
    private final transient List<JsonError> faults;

    /**
     * Makes an error.
     *
     * @param step the step that read the text
     * @param name the name of the text, a file name for example
     * @param faults all faults
     */
    public InvalidJsonException(Step step, String name, List<JsonError> faults) {
        super(step, name, faults.stream().map(JsonError::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /**
     * The faults found.
     *
     * @return all faults, in the order of the checks
     */
    public List<JsonError> errors() {
        return faults;
    }
}
