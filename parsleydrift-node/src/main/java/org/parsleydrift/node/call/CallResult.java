package org.parsleydrift.node.call;

import org.parsleydrift.program.CallOutcome;

/**
 * Result of a call.
 *
 * @param outcome how the call ended
 * @param answer the upstream's response, or the reason of the failure
 */
public record CallResult(CallOutcome outcome, String answer) {}
