package org.parsleydrift.kernel.codec;

import java.util.List;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if a JSON text cannot be parsed or does not match its schema. Carries every error found. */
public final class InvalidJsonException extends StepException {
    private final transient List<JsonError> errors;

    /**
     * Creates an exception.
     *
     * @param step the step that read the text
     * @param name the name of the text, for example a file name
     * @param errors all errors found
     */
    public InvalidJsonException(Step step, String name, List<JsonError> errors) {
        super(step, name, errors.stream().map(JsonError::toString).collect(Collectors.joining("; ")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors found.
     *
     * @return all errors in the order of the checks, within one check by line and column
     */
    public List<JsonError> errors() {
        return errors;
    }
}
