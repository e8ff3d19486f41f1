package org.parsleydrift.placement;

/**
 * What the check of a request against its team's quota depends on.
 *
 * @param inProgress whether the request's program has already used runner time
 * @param inProgram whether the request belongs to a program, which needs further requests
 */
public record QuotaRequest(boolean inProgress, boolean inProgram) {
    boolean startsProgram() {
        return !inProgress && inProgram;
    }
}
