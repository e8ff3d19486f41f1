package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * HTTP request decoder that rejects ambiguous framing, such as {@code Content-Length} together with chunked encoding,
 * which permits request smuggling.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }
}
