package org.parsleydrift.wire;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * HTTP response decoder that rejects ambiguous framing, expects no body after HEAD and tells whether it holds bytes that it
 * has not decoded.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean headRequested;

    /** Creates a decoder for one connection. */
    public StrictResponseDecoder() {}

    /**
     * Sets the method of the request that the next response belongs to.
     *
     * @param method the method
     */
    public void expectResponseTo(HttpMethod method) {
        headRequested = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns whether bytes were received that are not part of any message decoded so far.
     *
     * @return whether there are such bytes
     */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /**
     * Returns the bytes that were received and are not part of any message decoded so far.
     *
     * @return a copy of the bytes
     */
    public byte[] undecodedBytes() {
        return ByteBufUtil.getBytes(internalBuffer());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Content-Length and chunked Transfer-Encoding");
    }
}
