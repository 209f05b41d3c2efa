package org.bronzelug.router.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.ClientSocketChannel;
import org.bronzelug.router.http.ResponseDecoder;
import org.bronzelug.router.http.StatusLines;

/**
 * One connection to an endpoint, which carries one request at a time.
 *
 * <p>Invariant: the connection is reused only if the last request was written completely, its
 * response was read completely, and no bytes followed the response in the same read. Without this,
 * an endpoint that responds twice, or a response that arrives late, would give the next caller the
 * response to another caller's request, or its status. A late response that arrives after the next
 * request was sent is recognized by its request id and skipped ({@link ResponseMatch}). An idle
 * connection is always read, so that its close is noticed.
 *
 * <p>Invariant: no byte that was read before a request was sent is taken for its response: a
 * response ends its request only when all that was read with it is decoded.
 *
 * <p>Invariant: a response without a length or chunks is complete only if the endpoint's orderly
 * close was read. A reset, a failed write and a close by this VM end the decoder's response too. If
 * the endpoint may not have read the request's whole body, its close is orderly only if no reset
 * follows it. Confined to the traffic thread.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final String CLOSED_BY_ENDPOINT = "connection closed by the endpoint";
    private static final String RESET_BY_ENDPOINT =
            "connection reset by the endpoint behind its close";
    private static final String LOST_WITHIN_HEAD = "connection lost within the head of a response";

    /**
     * Bounds the memory of a connection; callers' ids are kept as hash codes, as they may be long.
     */
    private static final int REMEMBERED_IDS = 16;

    private final WireFormat wire;
    private final Owner owner;
    private final Optional<String> relayVm;
    private final ArrayDeque<Integer> carriedIds = new ArrayDeque<>(REMEMBERED_IDS);
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private Optional<ResponseListener> listener = Optional.empty();
    private Optional<ChannelFuture> written = Optional.empty();
    private String requestId = "";
    private boolean reusable = true;
    private boolean skippingResponse;
    private SkippedResponses skipped = new SkippedResponses();
    private EmbeddedResponseScanner body;
    private boolean headSeen;
    private boolean responseEnded;
    private boolean endsWithConnection;
    private boolean closedByEndpoint;
    private boolean requestReadInParts;
    private long idleSinceNanos;
    private long lastReceivedNanos;
    private long idleLimitMillis = Long.MAX_VALUE;

    /** Is notified of what becomes of a connection. */
    interface Owner {
        /** Called when the connection can carry the next request. */
        void onIdle(EndpointConnection connection);

        /**
         * Called when the connection ends or fails within a request, or ends a response without a
         * length, which a crash may have cut short.
         */
        void onLost();

        /**
         * Called when bytes have arrived that belong to no request or to an earlier one. The
         * connection carries no further request. That the endpoint has crashed does not follow.
         *
         * @param lastRequestId id of the request in progress, or of the last one
         * @param skipped whether the request in progress still awaits its response
         */
        void onDesynchronized(String lastRequestId, Desynchronization cause, boolean skipped);
    }

    /**
     * @param relayVm the VM that relays the connection; empty if it is direct
     */
    EndpointConnection(WireFormat wire, Owner owner, Optional<String> relayVm) {
        this.wire = wire;
        this.owner = owner;
        this.relayVm = relayVm;
        body = newScanner();
    }

    void bind(Channel opened) {
        channel = opened;
        lastReceivedNanos = System.nanoTime();
    }

    Optional<String> relayVm() {
        return relayVm;
    }

    /** Returns when something last arrived, or the connection was opened. */
    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Returns the use of this connection by a request that finds it idle. */
    ConnectionUse keptUse() {
        return relayVm.isPresent() ? ConnectionUse.KEPT_RELAYED : ConnectionUse.KEPT;
    }

    /** Sends a request and passes its response to the listener. */
    void send(
            FullHttpRequest request,
            String id,
            ResponseListener responseListener,
            ConnectionUse use) {
        listener = Optional.of(responseListener);
        requestId = id;
        recordCarried(id);
        headSeen = false;
        skipped = new SkippedResponses();
        body = newScanner();
        requestReadInParts = ClientSocketChannel.isReadInParts(request.content().readableBytes());
        written = Optional.of(channel.writeAndFlush(request));
        responseListener.onSent(use);
    }

    private void recordCarried(String id) {
        if (carriedIds.size() == REMEMBERED_IDS) {
            carriedIds.removeFirst();
        }
        carriedIds.addLast(id.hashCode());
    }

    /**
     * Returns whether one of the last requests had this id, or one with the same hash code. A late
     * response to it would be taken for the response to another attempt of the same request.
     */
    boolean hasCarried(String id) {
        return carriedIds.contains(id.hashCode());
    }

    /** Cancels the request by closing the connection, so that the endpoint stops working on it. */
    void cancel() {
        listener = Optional.empty();
        responseEnded = false;
        close();
    }

    void close() {
        reusable = false;
        channel.close();
    }

    /**
     * Returns whether the idle connection can carry another request.
     *
     * @param marginMillis how long before the endpoint's idle limit the connection is not used any
     *     more
     */
    boolean isUsable(long nowNanos, long marginMillis) {
        long idleMillis = (nowNanos - idleSinceNanos) / 1_000_000;
        return reusable
                && channel.isActive()
                && (idleLimitMillis == Long.MAX_VALUE
                        || idleMillis < idleLimitMillis - marginMillis);
    }

    /** Pauses or resumes reading, so that a slow caller slows down the endpoint. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastReceivedNanos = System.nanoTime();
        if (listener.isEmpty()) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (responseEnded) {
            ReferenceCountUtil.release(message);
            reusable = false;
            return;
        }
        if (!(message instanceof HttpObject object) || object.decoderResult().isFailure()) {
            boolean cutOff = isCutOff(message);
            ReferenceCountUtil.release(message);
            if (cutOff) {
                fail(LOST_WITHIN_HEAD);
            } else {
                endDesynchronized(Desynchronization.NO_RESPONSE);
            }
            return;
        }
        if (object instanceof HttpResponse response) {
            readHead(response);
        }
        if (object instanceof HttpContent content) {
            readContent(content);
        }
    }

    /**
     * Returns whether the decoder states that the connection has ended within a head. That end is
     * one that a crash may have caused, unlike bytes that are no response.
     */
    private static boolean isCutOff(Object message) {
        return message instanceof HttpObject object
                && object.decoderResult().cause() instanceof PrematureChannelClosureException;
    }

    private void readHead(HttpResponse response) {
        switch (ResponseMatch.of(response, requestId, wire)) {
            case ResponseMatch.Own(EndpointResponse head) -> readOwnHead(head, response);
            case ResponseMatch.Interim() -> {
                skippingResponse = true;
                skipped.addInterim();
                failIfSkippingTooMuch();
            }
            case ResponseMatch.Foreign(Desynchronization cause) -> {
                skippingResponse = true;
                reusable = false;
                skipped.addForeign();
                if (BodyFraming.of(response) == BodyFraming.CONNECTION_CLOSE) {
                    // The request's own response would be a part of this one's body.
                    endDesynchronized(cause);
                    return;
                }
                owner.onDesynchronized(requestId, cause, true);
                failIfSkippingTooMuch();
            }
            case ResponseMatch.Malformed(Desynchronization cause) -> endDesynchronized(cause);
        }
    }

    private void readOwnHead(EndpointResponse head, HttpResponse response) {
        headSeen = true;
        endsWithConnection = BodyFraming.of(response) == BodyFraming.CONNECTION_CLOSE;
        reusable &= head.keepAlive();
        head.idleMillis().ifPresent(millis -> idleLimitMillis = millis);
        listener.ifPresent(active -> active.onHead(head, response));
    }

    private void failIfSkippingTooMuch() {
        if (listener.isPresent() && skipped.isTooMuch()) {
            endDesynchronized(Desynchronization.TOO_MUCH_SKIPPED);
        }
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (last && StatusLines.areIn(((LastHttpContent) content).trailingHeaders())) {
            content.release();
            endDesynchronized(Desynchronization.JOINED_HEADS);
            return;
        }
        body.scan(content.content());
        if (hasOtherResponseWithin(last)) {
            content.release();
            endDesynchronized(Desynchronization.JOINED_BODY);
            return;
        }
        if (skippingResponse) {
            skipBody(content, last);
            return;
        }
        if (content.content().isReadable() && listener.isPresent()) {
            listener.get().onData(content.content());
        } else {
            content.release();
        }
        if (last && headSeen && listener.isPresent()) {
            if (endsWithConnection && !closedByEndpoint) {
                fail("connection lost within a response that has no length");
            } else {
                endResponse();
            }
        }
    }

    private EmbeddedResponseScanner newScanner() {
        return new EmbeddedResponseScanner(wire.requestIdField(), requestId);
    }

    /**
     * Returns whether the body was cut off and is filled up by the request's own response, or by
     * any response that goes on behind it.
     *
     * @param last whether the body ends
     */
    private boolean hasOtherResponseWithin(boolean last) {
        if (body.hasResponse(last)) {
            return true;
        }
        boolean goesOn = last && headSeen && decoder.hasUndecodedBytes();
        return goesOn
                && (body.hasStatusLine() || body.isStatusLineCompletedBy(decoder.undecodedBytes()));
    }

    private void skipBody(HttpContent content, boolean last) {
        skipped.addBytes(content.content().readableBytes());
        content.release();
        skippingResponse = !last;
        if (last) {
            body = newScanner();
        }
        failIfSkippingTooMuch();
    }

    /**
     * Ends the response once all that was read with it has been decoded. Bytes behind it may be the
     * begin of an extra response, which the decoder would join with the next one.
     */
    private void endResponse() {
        responseEnded = true;
        if (decoder.hasUndecodedBytes()) {
            rejectBytesAfterResponse();
        }
    }

    private void rejectBytesAfterResponse() {
        if (reusable) {
            reusable = false;
            owner.onDesynchronized(requestId, Desynchronization.BYTES_AFTER_RESPONSE, false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (responseEnded) {
            complete();
        }
        context.fireChannelReadComplete();
    }

    private void complete() {
        Optional<ResponseListener> active = listener;
        listener = Optional.empty();
        responseEnded = false;
        boolean writtenCompletely = written.map(ChannelFuture::isSuccess).orElse(false);
        reusable &= writtenCompletely && channel.isActive();
        idleSinceNanos = System.nanoTime();
        if (reusable) {
            // The caller may have paused the connection, and is no longer notified to resume it.
            setReading(true);
            owner.onIdle(this);
        } else {
            channel.close();
        }
        if (endsWithConnection) {
            owner.onLost();
        }
        active.ifPresent(ResponseListener::onComplete);
    }

    private void fail(String cause) {
        if (responseEnded) {
            reusable = false;
            complete();
            return;
        }
        Optional<ResponseListener> active = listener;
        listener = Optional.empty();
        close();
        if (active.isPresent()) {
            owner.onLost();
            active.get().onBroken(cause);
        }
    }

    /** Ends the request, since it is unknown where its response begins, or whether one follows. */
    private void endDesynchronized(Desynchronization cause) {
        Optional<ResponseListener> active = listener;
        listener = Optional.empty();
        close();
        if (active.isPresent()) {
            owner.onDesynchronized(requestId, cause, false);
            active.get().onBroken(cause.text());
        }
    }

    /** Returns the decoder of what arrives, to be placed after {@link #inboundGuard}. */
    ChannelHandler decoder() {
        return decoder;
    }

    /**
     * Returns a handler for what arrives, to be placed before the decoder. It notes the endpoint's
     * orderly close before the decoder takes that for the end of a response, and closes an idle
     * connection at the first byte, which the decoder would take for the start of the next
     * response.
     */
    ChannelHandler inboundGuard() {
        return new InboundGuard();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail(CLOSED_BY_ENDPOINT);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(CLOSED_BY_ENDPOINT);
    }

    /** Checks what arrives before it is decoded. Confined to the traffic thread. */
    private final class InboundGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (listener.isEmpty()) {
                ReferenceCountUtil.release(message);
                rejectBytesAfterResponse();
                close();
                return;
            }
            if (responseEnded) {
                ReferenceCountUtil.release(message);
                rejectBytesAfterResponse();
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                reusable = false;
                if (listener.isPresent() && endsWithConnection && requestReadInParts) {
                    verifyClose(context, event);
                    return;
                }
                closedByEndpoint = true;
            }
            context.fireUserEventTriggered(event);
        }

        /** Passes the close on once it is known that no reset follows it. */
        private void verifyClose(ChannelHandlerContext context, Object event) {
            if (channel instanceof ClientSocketChannel direct) {
                direct.verifyClose(
                        () -> {
                            closedByEndpoint = true;
                            context.fireUserEventTriggered(event);
                        },
                        () -> fail(RESET_BY_ENDPOINT));
            } else {
                // The VM that relays the connection verifies the close, and closes or resets it.
                closedByEndpoint = true;
            }
        }
    }
}
