package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request as it goes to a runner.
 *
 * @param id the id that the answer must bear
 * @param method the HTTP method
 * @param target path and query
 * @param headers its headers
 * @param body its body
 * @param repeatable whether it may be sent again if nothing comes back
 */
record RunnerRequest(String id, String method, String target, HttpHeaders headers, byte[] body, boolean repeatable) {}
