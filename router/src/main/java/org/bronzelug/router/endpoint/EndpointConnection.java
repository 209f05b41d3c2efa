package org.bronzelug.router.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.function.Consumer;
import org.bronzelug.router.exchange.WireFormat;

/**
 * One connection to an endpoint: one request at a time.
 *
 * <p>Invariant: it is used again only if the last request was written whole, its answer read whole,
 * and nothing came after it. The failure this prevents: an endpoint answers twice, or a stray
 * answer arrives late, and the next caller gets another's answer. A stray answer that crosses the
 * next request is told apart by the request's id and skipped. Confined to the traffic thread.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final int CONTINUE = 100;
    private static final int FIRST_FINAL_STATUS = 200;

    private final WireFormat wire;
    private final Consumer<EndpointConnection> onIdle;
    private Channel channel;
    private Optional<ResponseListener> listener = Optional.empty();
    private Optional<ChannelFuture> written = Optional.empty();
    private String requestId = "";
    private boolean reusable = true;
    private boolean skipping;
    private boolean headSeen;
    private long idleSinceNanos;
    private long idleLimitMillis = Long.MAX_VALUE;

    EndpointConnection(WireFormat wire, Consumer<EndpointConnection> onIdle) {
        this.wire = wire;
        this.onIdle = onIdle;
    }

    void bind(Channel opened) {
        channel = opened;
    }

    /** Sends a request; the listener hears of its answer. */
    void send(FullHttpRequest request, String id, ResponseListener answerListener) {
        listener = Optional.of(answerListener);
        requestId = id;
        headSeen = false;
        written = Optional.of(channel.writeAndFlush(request));
        answerListener.onSent();
    }

    /** Gives the request up: the endpoint sees the connection close and stops work. */
    void cancel() {
        listener = Optional.empty();
        close();
    }

    void close() {
        reusable = false;
        channel.close();
    }

    boolean isUsable(long nowNanos, long marginMillis) {
        long idleMillis = (nowNanos - idleSinceNanos) / 1_000_000;
        return reusable
                && channel.isActive()
                && (idleLimitMillis == Long.MAX_VALUE
                        || idleMillis < idleLimitMillis - marginMillis);
    }

    /** Stops or resumes reading, while the caller takes the answer slowly. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject object) || object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail("bytes that are no answer");
            return;
        }
        if (listener.isEmpty()) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (object instanceof HttpResponse response) {
            readHead(response);
        }
        if (object instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        int status = response.status().code();
        if (status >= CONTINUE && status < FIRST_FINAL_STATUS) {
            skipping = true;
            return;
        }
        EndpointResponse answer = wire.decodeResponse(response);
        if (answer.requestId().isPresent() && !answer.requestId().get().equals(requestId)) {
            skipping = true;
            reusable = false;
            return;
        }
        headSeen = true;
        reusable &= answer.keepAlive();
        answer.idleMillis().ifPresent(millis -> idleLimitMillis = millis);
        listener.ifPresent(hearing -> hearing.onHead(answer, response));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            content.release();
            skipping = !last;
            return;
        }
        if (content.content().isReadable() && listener.isPresent()) {
            listener.get().onData(content.content());
        } else {
            content.release();
        }
        if (last && headSeen) {
            complete();
        }
    }

    private void complete() {
        Optional<ResponseListener> hearing = listener;
        listener = Optional.empty();
        boolean whole = written.map(ChannelFuture::isSuccess).orElse(false);
        reusable &= whole && channel.isActive();
        idleSinceNanos = System.nanoTime();
        if (reusable) {
            onIdle.accept(this);
        } else {
            channel.close();
        }
        hearing.ifPresent(ResponseListener::onComplete);
    }

    private void fail(String cause) {
        Optional<ResponseListener> hearing = listener;
        listener = Optional.empty();
        close();
        hearing.ifPresent(waiting -> waiting.onBroken(cause));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed by the endpoint");
    }
}
