package org.parsleydrift.node.host;

import org.parsleydrift.node.call.CallExecutor;
import org.parsleydrift.node.placement.RunnerPool;

/**
 * Executors for the steps of programs.
 *
 * @param runners places turns on model engines
 * @param calls calls tools and services
 */
public record Upstreams(RunnerPool runners, CallExecutor calls) {}
