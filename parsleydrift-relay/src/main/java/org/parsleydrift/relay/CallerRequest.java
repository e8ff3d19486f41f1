package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request as read from a caller, whole and with sound framing.
 *
 * @param method the HTTP method
 * @param target path and query as sent
 * @param host the host named
 * @param headers all headers
 * @param body the body
 */
record CallerRequest(String method, String target, String host, HttpHeaders headers, byte[] body) {}
