package org.parsleydrift.kernel.upstream;

/**
 * A call of a tool or of a plain service.
 *
 * @param callId names the call; the same in every attempt
 * @param operation the tool or service
 * @param body its arguments, a JSON text
 */
public record CallRequest(String callId, String operation, String body) {}
