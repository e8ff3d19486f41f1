package org.parsleydrift.kernel.upstream;

/**
 * A call of a tool or of a plain service.
 *
 * @param callId the id of the call, the same in every attempt
 * @param operation the name of the tool or service
 * @param body the arguments as JSON text
 */
public record CallRequest(String callId, String operation, String body) {}
