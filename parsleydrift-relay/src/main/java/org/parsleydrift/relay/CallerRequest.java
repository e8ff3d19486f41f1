package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete request of a caller with valid framing.
 *
 * @param method the HTTP method
 * @param target path and query as sent
 * @param host value of the {@code Host} header
 * @param headers all headers as sent
 * @param body the body; empty if there is none
 */
record CallerRequest(String method, String target, String host, HttpHeaders headers, byte[] body) {}
