package org.parsleydrift.journal;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** The journal was sealed by another node: this incarnation may not write, and must stop. */
public final class FencedException extends StepException {
    private final transient Seal seal;

    FencedException(String incarnation, Seal seal) {
        super(Step.COMMIT, seal.sealedBy(), "journal " + incarnation + " is sealed");
        this.seal = seal;
    }

    /**
     * The seal that was met.
     *
     * @return the seal
     */
    public Seal seal() {
        return seal;
    }
}
