package org.parsleydrift.journal;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if another node has sealed the journal. The incarnation that owns the journal must stop. */
public final class FencedException extends StepException {
    private final transient Seal seal;

    FencedException(String incarnation, Seal seal) {
        super(Step.COMMIT, seal.sealedBy(), "journal " + incarnation + " is sealed");
        this.seal = seal;
    }

    /**
     * Returns the seal that was found in the journal.
     *
     * @return the seal, which names the successors
     */
    public Seal seal() {
        return seal;
    }
}
