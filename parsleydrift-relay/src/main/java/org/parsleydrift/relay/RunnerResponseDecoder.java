package org.parsleydrift.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * HTTP response decoder that rejects ambiguous framing, expects no body after HEAD and tells whether it holds bytes that it
 * has not decoded.
 */
final class RunnerResponseDecoder extends HttpResponseDecoder {
    private boolean headRequested;

    /** Sets the method of the request that the next response belongs to. */
    void expectResponseTo(HttpMethod method) {
        headRequested = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether bytes were received that are not part of any message decoded so far. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns a copy of the bytes that were received and are not part of any message decoded so far. */
    byte[] undecodedBytes() {
        return ByteBufUtil.getBytes(internalBuffer());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Content-Length and chunked Transfer-Encoding");
    }
}
