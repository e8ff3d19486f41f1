package org.parsleydrift.node.call;

import org.parsleydrift.program.CallOutcome;

/**
 * How a call ended.
 *
 * @param outcome what may be concluded
 * @param answer the upstream's answer, or what went wrong
 */
public record CallEnd(CallOutcome outcome, String answer) {}
