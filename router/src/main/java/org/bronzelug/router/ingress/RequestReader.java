package org.bronzelug.router.ingress;

import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Assembles the requests of one connection from the parts that arrive. Owns the parts until a
 * request is complete. Confined to the traffic thread.
 */
final class RequestReader {
    private Optional<HttpRequest> head = Optional.empty();
    private CompositeByteBuf body = Unpooled.compositeBuffer();

    /** Returns whether the head of a request has arrived, but not the end of its body. */
    boolean isReading() {
        return head.isPresent();
    }

    void begin(HttpRequest request) {
        head = Optional.of(request);
    }

    /** Ignores the rest of the current request. */
    void abandon() {
        head = Optional.empty();
    }

    boolean exceeds(HttpContent next, int maximumBodyBytes) {
        return body.readableBytes() + next.content().readableBytes() > maximumBodyBytes;
    }

    /**
     * Adds the next part of the body and takes ownership of it.
     *
     * @return the whole request if this was its last part
     */
    Optional<FullHttpRequest> add(HttpContent next) {
        body.addComponent(true, next.content());
        if (!(next instanceof LastHttpContent)) {
            return Optional.empty();
        }
        HttpRequest first = head.orElseThrow();
        FullHttpRequest whole =
                new DefaultFullHttpRequest(
                        first.protocolVersion(),
                        first.method(),
                        first.uri(),
                        body,
                        first.headers(),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        body = Unpooled.compositeBuffer();
        head = Optional.empty();
        return Optional.of(whole);
    }

    void release() {
        body.release();
    }

    /**
     * Returns whether the headers are ambiguous about the body's length or the host. Another proxy
     * on the path may interpret such a request differently, so that a part of one caller's body
     * becomes a separate request (request smuggling).
     */
    static boolean isAmbiguous(HttpRequest request) {
        HttpHeaders headers = request.headers();
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean unsupportedCoding = chunked && !HttpUtil.isTransferEncodingChunked(request);
        boolean bothLengths = chunked && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean multipleLengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
        boolean notOneHost = headers.getAll(HttpHeaderNames.HOST).size() != 1;
        return unsupportedCoding || bothLengths || multipleLengths || notOneHost;
    }
}
