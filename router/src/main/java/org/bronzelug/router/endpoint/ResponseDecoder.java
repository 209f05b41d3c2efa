package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes an endpoint's responses. A head with both a length and chunks is malformed, since two
 * recipients could take different bytes for the end of its body (RFC 9112, section 6.3). Confined
 * to the traffic thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Returns whether bytes have arrived behind the last message that was decoded. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns these bytes, for reading only. */
    ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
