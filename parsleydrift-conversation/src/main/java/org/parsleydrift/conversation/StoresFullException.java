package org.parsleydrift.conversation;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** The store VMs answer, but have no room for a new program. */
final class StoresFullException extends StepException {
    private static final long serialVersionUID = 1;

    StoresFullException() {
        super(Step.COMMIT, "stores", "no room for a new program");
    }
}
