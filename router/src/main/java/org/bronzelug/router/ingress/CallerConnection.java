package org.bronzelug.router.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.exchange.Rejection;

/**
 * One connection of a caller, which serves its requests one after the other.
 *
 * <p>A request is passed to the {@link RequestHandler} once its head and body have arrived
 * completely and the response to the previous request is complete. Requests that arrive earlier
 * (HTTP pipelining) are queued. The handler writes one response per request, either at once ({@link
 * #writeResponse}, {@link #reject}) or in chunks ({@link #writeHead}, {@link #writeData}, {@link
 * #writeEnd}).
 *
 * <p>The connection reads all the time, also while a request is served. It therefore notices
 * immediately that a caller closes the connection, and the endpoint stops working on a response
 * that nobody waits for.
 *
 * <p>Invariant: an incomplete response never looks complete, since {@link #abort} closes the
 * connection before the end of the response is written. Confined to the traffic thread.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEADER_TOO_LARGE = 431;

    /** Maximum number of queued requests of one connection; regular clients do not send more. */
    private static final int MAXIMUM_PIPELINED = 16;

    /** Time after which a caller that has accepted no byte of its response is considered gone. */
    static final long STALLED_CALLER_MILLIS = 60_000;

    private final RequestHandler handler;
    private final Channel channel;
    private final UnsentResponse unsent;
    private final RequestReader reader = new RequestReader();
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private Optional<CallerListener> currentListener = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean busy;
    private boolean starting;
    private boolean keepAlive = true;
    private boolean closeAfterResponse;
    private boolean closeWhenIdle;
    private boolean closed;

    CallerConnection(RequestHandler handler, Channel channel) {
        this.handler = handler;
        this.channel = channel;
        unsent = new UnsentResponse(channel);
        startTimer(handler.limits().idleTimeoutMillis(), this::close);
    }

    /** Returns the host of the caller; empty if it is not known. */
    public String remoteHost() {
        return channel.remoteAddress() instanceof InetSocketAddress remote
                ? remote.getHostString()
                : "";
    }

    /** Returns whether a request is in progress, or its response is not yet sent. */
    public boolean isBusy() {
        return busy || unsent.isPending();
    }

    /**
     * Closes the connection: immediately if it is idle, otherwise when the responses to all
     * requests that were read are sent.
     */
    public void closeWhenIdle() {
        closeWhenIdle = true;
        if (!busy && !reader.isReading()) {
            closeAfterFlush();
        }
    }

    /** Has the request in progress answered, since the VM ends, and then those queued behind it. */
    void shutDown() {
        closeWhenIdle();
        currentListener.ifPresent(CallerListener::onShutdown);
    }

    /** Writes the head of a response whose body follows in chunks. */
    public void writeHead(int status, HttpHeaders headers, OptionalLong length) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (length.isPresent()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(headers);
        channel.writeAndFlush(response);
    }

    /** Writes a chunk of the response's body, and takes ownership of it. */
    public void writeData(ByteBuf data) {
        channel.writeAndFlush(new DefaultHttpContent(data));
    }

    /** Writes the end of the response. */
    public void writeEnd() {
        onResponseComplete(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Writes a complete response, and takes ownership of the body. */
    public void writeResponse(int status, HttpHeaders headers, ByteBuf content) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        setConnectionHeader(headers);
        ChannelFuture written =
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.valueOf(status),
                                content,
                                headers,
                                DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        onResponseComplete(written);
    }

    /** Writes a rejection by the router as a complete response. */
    public void reject(Rejection rejection) {
        closeAfterResponse |= rejection.close();
        writeResponse(
                rejection.status(),
                RejectionContent.headers(rejection),
                RejectionContent.body(rejection));
    }

    /** Closes the connection within a response, so that the caller sees an incomplete response. */
    public void abort() {
        currentListener = Optional.empty();
        close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closed) {
            // What arrives after the last response was written is discarded.
            ReferenceCountUtil.release(message);
            return;
        }
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
        if (RequestReader.isAmbiguous(request)) {
            rejectUnread(new IllegalArgumentException("ambiguous body length or host"));
            return;
        }
        reader.begin(request);
        startTimer(handler.limits().headerTimeoutMillis(), this::rejectSlowRequest);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void readBody(HttpContent content) {
        if (!reader.isReading()) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            rejectUnread(content.decoderResult().cause());
            return;
        }
        if (reader.exceeds(content, handler.limits().maximumBodyBytes())) {
            content.release();
            reader.abandon();
            rejectUnlessBusy(
                    Rejection.of(TOO_LARGE, "body too large", "send a smaller body").closing());
            return;
        }
        reader.add(content).ifPresent(this::onRequestComplete);
    }

    private void onRequestComplete(FullHttpRequest whole) {
        stopTimer();
        if (!busy) {
            startAfterRead(whole);
        } else if (pipelined.size() < MAXIMUM_PIPELINED) {
            pipelined.add(whole);
        } else {
            whole.release();
            close();
        }
    }

    /**
     * Starts a request after everything that has arrived on the connection has been read. Without
     * this, a VM that was stalled would forward requests whose callers closed their connections
     * long ago.
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
        starting = true;
        CallerListener listener = handler.handle(request, this, System.nanoTime());
        starting = false;
        if (busy) {
            currentListener = Optional.of(listener);
        } else if (!closed) {
            startNext();
        }
    }

    private void onResponseComplete(ChannelFuture written) {
        busy = false;
        currentListener = Optional.empty();
        unsent.begin(written);
        if (!keepAlive || closeAfterResponse || (closeWhenIdle && pipelined.isEmpty())) {
            closeAfterFlush();
            return;
        }
        // Within start(), the next request would begin before this one's listener is set.
        if (!starting) {
            startNext();
        }
    }

    /** Starts the next queued request, or waits for one to arrive. */
    private void startNext() {
        FullHttpRequest next = pipelined.poll();
        if (next != null) {
            start(next);
            return;
        }
        if (!reader.isReading()) {
            startStallTimer();
        }
        unsent.whenSent(this::startIdleTimer);
    }

    private void startIdleTimer() {
        if (!isBusy() && !closed && !reader.isReading() && channel.isActive()) {
            startTimer(handler.limits().idleTimeoutMillis(), this::close);
        }
    }

    private void startStallTimer() {
        startTimer(STALLED_CALLER_MILLIS, this::closeIfStalled);
    }

    private void closeIfStalled() {
        if (unsent.hasProgressed()) {
            startStallTimer();
        } else {
            close();
        }
    }

    private void setConnectionHeader(HttpHeaders headers) {
        closeAfterResponse |= (closeWhenIdle || handler.isStopping()) && pipelined.isEmpty();
        if (closeAfterResponse || !keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            headers.remove(HttpHeaderNames.CONNECTION);
        }
    }

    private void rejectUnread(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        reader.abandon();
        Rejection rejection =
                tooLong
                        ? Rejection.of(HEADER_TOO_LARGE, "head too large", "send fewer headers")
                        : Rejection.of(BAD_REQUEST, "malformed request", "send valid HTTP/1.1");
        rejectUnlessBusy(rejection.closing());
    }

    private void rejectSlowRequest() {
        reader.abandon();
        rejectUnlessBusy(
                Rejection.of(REQUEST_TIMEOUT, "request too slow", "send it faster").closing());
    }

    /**
     * Rejects the incoming request. If a response is in progress, the connection is closed after it
     * instead.
     */
    private void rejectUnlessBusy(Rejection rejection) {
        if (busy) {
            closeWhenIdle();
            return;
        }
        reject(rejection);
    }

    private void closeAfterFlush() {
        closed = true;
        ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        unsent.begin(written);
        startStallTimer();
        written.addListener(ChannelFutureListener.CLOSE);
    }

    private void close() {
        closed = true;
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

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        currentListener.ifPresent(listener -> listener.onWritable(channel.isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        reader.release();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        Optional<CallerListener> listener = currentListener;
        currentListener = Optional.empty();
        busy = false;
        listener.ifPresent(CallerListener::onCallerClosed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
