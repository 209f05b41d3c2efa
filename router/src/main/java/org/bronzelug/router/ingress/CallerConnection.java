package org.bronzelug.router.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.exchange.Rejection;

/**
 * One connection of a caller: its requests are answered one after the other.
 *
 * <p>It always reads, also while a request is served: that is how a caller's leaving is noticed at
 * once, so that the endpoint stops work that nobody waits for. Invariant: an answer that broke off
 * never looks whole, as the connection is closed before its end is marked. Confined to the traffic
 * thread.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEADER_TOO_LARGE = 431;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Requests sent ahead of their turn that are kept; more is no usual client. */
    private static final int MAXIMUM_PIPELINED = 16;

    private final RequestHandler handler;
    private final Channel channel;
    private final Deque<FullHttpRequest> ahead = new ArrayDeque<>();
    private Optional<CallerListener> current = Optional.empty();
    private Optional<HttpRequest> reading = Optional.empty();
    private CompositeByteBuf body = Unpooled.compositeBuffer();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean busy;
    private boolean keepAlive = true;
    private boolean closing;
    private boolean ended;
    private boolean chunkedResponse;

    CallerConnection(RequestHandler handler, Channel channel) {
        this.handler = handler;
        this.channel = channel;
        startTimer(handler.limits().idleTimeoutMillis(), this::close);
    }

    public boolean isBusy() {
        return busy;
    }

    /** Ends the connection, at once where nothing is under way, else after the answer. */
    public void endWhenIdle() {
        closing = true;
        if (!busy && reading.isEmpty()) {
            close();
        }
    }

    /** Begins an answer whose parts follow. */
    public void writeHead(int status, HttpHeaders headers, OptionalLong length) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        chunkedResponse = length.isEmpty();
        if (length.isPresent()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(headers);
        channel.writeAndFlush(response);
    }

    /** Passes a part of the answer's body on, and takes it over. */
    public void writeData(ByteBuf data) {
        channel.writeAndFlush(new DefaultHttpContent(data));
    }

    /** Marks the end of the answer. */
    public void writeEnd() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finished();
    }

    /** Answers whole, and takes the body over. */
    public void answer(int status, HttpHeaders headers, ByteBuf content) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        setConnectionHeader(headers);
        channel.writeAndFlush(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        content,
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        finished();
    }

    /** Answers with a refusal of the router's own. */
    public void refuse(Rejection rejection) {
        closing |= rejection.close();
        String text =
                "{\"error\":\""
                        + rejection.reason()
                        + "\",\"remedy\":\""
                        + rejection.remedy()
                        + "\"}";
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        rejection
                .retryAfterMillis()
                .ifPresent(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(millis)));
        answer(
                rejection.status(),
                headers,
                Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Ends the connection in the middle of an answer, which is thereby seen to be broken. */
    public void abort() {
        current = Optional.empty();
        close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                ReferenceCountUtil.release(message);
                rejectUnread(request.decoderResult().cause());
                return;
            }
            beginRequest(request);
        }
        if (message instanceof HttpContent content) {
            readBody(content);
        }
    }

    private void beginRequest(HttpRequest request) {
        if (isAmbiguous(request)) {
            rejectUnread(new IllegalArgumentException("two ways to tell the body's length"));
            return;
        }
        reading = Optional.of(request);
        startTimer(handler.limits().headerTimeoutMillis(), this::rejectSlowRequest);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * A length given in two ways: another program on the way may read another request out of it, so
     * that one caller's body becomes a request of its own.
     */
    private static boolean isAmbiguous(HttpRequest request) {
        HttpHeaders headers = request.headers();
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean unsupportedCoding = chunked && !HttpUtil.isTransferEncodingChunked(request);
        boolean both = chunked && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean multipleLengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
        boolean hosts = headers.getAll(HttpHeaderNames.HOST).size() != 1;
        return unsupportedCoding || both || multipleLengths || hosts;
    }

    private void readBody(HttpContent content) {
        if (reading.isEmpty()) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            rejectUnread(content.decoderResult().cause());
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > handler.limits().maximumBodyBytes()) {
            content.release();
            reading = Optional.empty();
            rejectUnlessBusy(
                    Rejection.of(TOO_LARGE, "body too large", "send a smaller body").closing());
            return;
        }
        body.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            onRequestComplete(reading.get());
        }
    }

    private void onRequestComplete(HttpRequest head) {
        FullHttpRequest whole =
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        body,
                        head.headers(),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        body = Unpooled.compositeBuffer();
        reading = Optional.empty();
        stopTimer();
        if (ended) {
            // It crossed the close: nothing of it is passed on.
            whole.release();
        } else if (!busy) {
            startAfterRead(whole);
        } else if (ahead.size() < MAXIMUM_PIPELINED) {
            ahead.add(whole);
        } else {
            whole.release();
            close();
        }
    }

    /**
     * Starts a request once all that has arrived on the connection is read. The failure this
     * prevents: a VM that was stalled forwards requests whose callers have long closed.
     */
    private void startAfterRead(FullHttpRequest request) {
        busy = true;
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isActive()) {
                                start(request);
                            } else {
                                request.release();
                            }
                        });
    }

    private void start(FullHttpRequest request) {
        busy = true;
        keepAlive = HttpUtil.isKeepAlive(request);
        CallerListener listener = handler.handle(request, this, System.nanoTime());
        if (busy) {
            current = Optional.of(listener);
        }
    }

    private void finished() {
        busy = false;
        current = Optional.empty();
        if (!keepAlive || closing) {
            closeAfterFlush();
            return;
        }
        startTimer(handler.limits().idleTimeoutMillis(), this::close);
        FullHttpRequest next = ahead.poll();
        if (next != null) {
            start(next);
        }
    }

    private void setConnectionHeader(HttpHeaders headers) {
        closing |= handler.isStopping();
        if (closing || !keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            headers.remove(HttpHeaderNames.CONNECTION);
        }
    }

    private void rejectUnread(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        reading = Optional.empty();
        Rejection rejection =
                tooLong
                        ? Rejection.of(HEADER_TOO_LARGE, "head too large", "send fewer headers")
                        : Rejection.of(BAD_REQUEST, "malformed request", "send valid HTTP/1.1");
        rejectUnlessBusy(rejection.closing());
    }

    private void rejectSlowRequest() {
        reading = Optional.empty();
        rejectUnlessBusy(
                Rejection.of(REQUEST_TIMEOUT, "request too slow", "send it faster").closing());
    }

    /** Refuses what is being read; an answer under way is not mixed with it. */
    private void rejectUnlessBusy(Rejection rejection) {
        if (busy) {
            endWhenIdle();
            return;
        }
        refuse(rejection);
    }

    private void closeAfterFlush() {
        ended = true;
        stopTimer();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void close() {
        ended = true;
        stopTimer();
        channel.close();
    }

    private void startTimer(long millis, Runnable action) {
        stopTimer();
        timer = Optional.of(channel.eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS));
    }

    private void stopTimer() {
        timer.ifPresent(running -> running.cancel(false));
        timer = Optional.empty();
    }

    private static String seconds(long millis) {
        return String.valueOf(millis / (double) MILLIS_PER_SECOND);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        current.ifPresent(listener -> listener.onWritable(channel.isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        body.release();
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        Optional<CallerListener> listener = current;
        current = Optional.empty();
        busy = false;
        listener.ifPresent(CallerListener::onCallerClosed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
