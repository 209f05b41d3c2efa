package org.bronzelug.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly. The library's decoder reads any whole number as a status code.
 *
 * <p>Invariant: a head that is passed on without a failure has a status line as RFC 9112 defines
 * it, and not both a length and chunks, since two recipients could take different bytes for the end
 * of its body (section 6.3). Confined to the event loop of its channel.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");

    /** Returns whether bytes have arrived behind the last message that was decoded. */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns these bytes, for reading only. */
    public ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        boolean valid =
                VERSION.matcher(statusLine[0]).matches()
                        && STATUS_CODE.matcher(statusLine[1]).matches();
        if (!valid) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
