package org.bronzelug.router.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.bronzelug.router.exchange.Rejection;

/** Encodes the headers and the body of the router's own error responses. Stateless. */
final class RejectionContent {
    private static final double MILLIS_PER_SECOND = 1_000;

    private RejectionContent() {}

    static HttpHeaders headers(Rejection rejection) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        rejection
                .retryAfterMillis()
                .ifPresent(
                        millis ->
                                headers.set(
                                        HttpHeaderNames.RETRY_AFTER,
                                        String.valueOf(millis / MILLIS_PER_SECOND)));
        return headers;
    }

    static ByteBuf body(Rejection rejection) {
        String text =
                "{\"error\":\""
                        + rejection.reason()
                        + "\",\"remedy\":\""
                        + rejection.remedy()
                        + "\"}";
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }
}
