package org.parsleydrift.node.host;

import org.parsleydrift.node.call.CallRunner;
import org.parsleydrift.node.placement.RunnerPool;

/**
 * Where the steps of programs are carried out.
 *
 * @param runners model engines
 * @param calls tools and plain services
 */
public record Upstreams(RunnerPool runners, CallRunner calls) {}
