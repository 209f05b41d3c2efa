package org.bronzelug.router.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.RelayRequest;
import org.bronzelug.api.fleet.v1.RelayResponse;

/**
 * The end of a relayed connection at the VM that uses it: sends the request for the endpoint, reads
 * the response, and then passes the endpoint's bytes on.
 *
 * <p>Invariant: the close of the endpoint's connection is passed on as on a direct one, by an event
 * if it was an orderly close, else by an exception. The relayed connection ends behind the event;
 * it is reset if a reset has followed the endpoint's close. Confined to the traffic thread.
 */
final class RelayClientHandler extends ChannelInboundHandlerAdapter {
    private final RelayTarget target;
    private final RelayConnector.Listener listener;
    private final long responseMillis;
    private Optional<ScheduledFuture<?>> timeout = Optional.empty();
    private boolean decided;
    private boolean connected;
    private boolean closedByEndpoint;

    RelayClientHandler(RelayTarget target, RelayConnector.Listener listener, long responseMillis) {
        this.target = target;
        this.listener = listener;
        this.responseMillis = responseMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        RelayRequest request =
                RelayRequest.newBuilder()
                        .setEndpoint(target.endpoint())
                        .setBornMillis(target.bornMillis())
                        .build();
        context.writeAndFlush(Unpooled.wrappedBuffer(request.toByteArray()));
        timeout =
                Optional.of(
                        context.executor()
                                .schedule(
                                        () -> fail(context, "no response to a relay request"),
                                        responseMillis,
                                        TimeUnit.MILLISECONDS));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        if (connected) {
            readFrame(context, frame);
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(frame);
        frame.release();
        if (!decided) {
            readResponse(context, bytes);
        }
    }

    private void readFrame(ChannelHandlerContext context, ByteBuf frame) {
        if (frame.isReadable()) {
            context.fireChannelRead(frame);
            return;
        }
        frame.release();
        closedByEndpoint = true;
        context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    private void readResponse(ChannelHandlerContext context, byte[] bytes) {
        try {
            RelayResponse response = RelayResponse.parseFrom(bytes);
            decide();
            if (response.getConnected()) {
                connected = true;
                listener.onConnected(context.channel());
            } else {
                context.close();
                listener.onRefused(response.getCause());
            }
        } catch (InvalidProtocolBufferException malformed) {
            fail(context, "malformed response: " + malformed.getMessage());
        }
    }

    private void decide() {
        decided = true;
        timeout.ifPresent(running -> running.cancel(false));
    }

    private void fail(ChannelHandlerContext context, String cause) {
        if (!decided) {
            decide();
            context.close();
            listener.onUnreachable(cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, "the relaying VM closed the connection");
        if (connected && !closedByEndpoint) {
            context.fireExceptionCaught(new IOException("relayed connection lost"));
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, String.valueOf(cause.getMessage()));
        if (connected) {
            context.fireExceptionCaught(cause);
        }
    }
}
