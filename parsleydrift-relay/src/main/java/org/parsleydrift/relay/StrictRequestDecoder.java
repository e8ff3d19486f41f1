package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests and refuses those whose framing can be read in two ways: a length beside chunks. A node and a runner
 * that read them differently would take a smuggled request for one of a caller.
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
        throw new IllegalArgumentException("both a length and chunks");
    }
}
