package org.bronzelug.router.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.bronzelug.api.fleet.v1.RelayRequest;
import org.bronzelug.api.fleet.v1.RelayResponse;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.http.ClientSocketChannel;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.metrics.RouterMetrics;

/**
 * The end of a relayed connection at the VM that relays it: connects to the endpoint that the first
 * frame names, and passes bytes on in both directions until either side closes.
 *
 * <p>Invariant: a side is read only while the other one accepts what was read, and a connection to
 * an endpoint is closed with the one that it was opened for. Confined to the traffic thread.
 */
final class RelayServerHandler extends ChannelInboundHandlerAdapter {
    /**
     * A connect takes two link delays of milliseconds. The VM that asks tries other VMs, and waits
     * a little longer than this.
     */
    private static final int CONNECT_MILLIS = 150;

    private final EventLoop traffic;
    private final RelayDirectory directory;
    private final RouterMetrics metrics;
    private Optional<Channel> endpoint = Optional.empty();
    private boolean requested;

    RelayServerHandler(EventLoop traffic, RelayDirectory directory, RouterMetrics metrics) {
        this.traffic = traffic;
        this.directory = directory;
        this.metrics = metrics;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        if (endpoint.isPresent()) {
            endpoint.get().writeAndFlush(frame);
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(frame);
        frame.release();
        if (requested) {
            // A VM sends nothing more until it has the response.
            context.close();
            return;
        }
        requested = true;
        readRequest(context, bytes);
    }

    private void readRequest(ChannelHandlerContext context, byte[] bytes) {
        try {
            RelayRequest request = RelayRequest.parseFrom(bytes);
            RelayTarget target = new RelayTarget(request.getEndpoint(), request.getBornMillis());
            Optional<InetSocketAddress> address = directory.addressOf(target);
            if (address.isPresent()) {
                connect(context, target, address.get());
            } else {
                refuse(context, target, "endpoint unknown or out of reach");
            }
        } catch (InvalidProtocolBufferException malformed) {
            EventLog.warn(
                    LogEvent.PEER_REFUSED,
                    "from="
                            + context.channel().remoteAddress()
                            + " cause=\""
                            + malformed.getMessage()
                            + "\"");
            context.close();
        }
    }

    private void connect(
            ChannelHandlerContext context, RelayTarget target, InetSocketAddress address) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(traffic)
                        .channel(ClientSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                        // Nothing may be passed on before the response to the request.
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .handler(new EndpointHandler(context.channel()));
        SocketSettings.enableKeepAlive(bootstrap);
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                accept(context, target, connected.channel());
                            } else {
                                refuse(
                                        context,
                                        target,
                                        String.valueOf(connected.cause().getMessage()));
                            }
                        });
    }

    private void accept(ChannelHandlerContext context, RelayTarget target, Channel opened) {
        if (!context.channel().isActive()) {
            opened.close();
            return;
        }
        endpoint = Optional.of(opened);
        metrics.count("relays_opened");
        EventLog.info(
                LogEvent.RELAY_OPENED,
                "endpoint=" + target.endpoint() + " for=" + context.channel().remoteAddress());
        write(context, RelayResponse.newBuilder().setConnected(true).build());
        opened.config().setAutoRead(true);
    }

    private void refuse(ChannelHandlerContext context, RelayTarget target, String cause) {
        metrics.count("relays_refused");
        EventLog.info(
                LogEvent.RELAY_REFUSED,
                "endpoint="
                        + target.endpoint()
                        + " for="
                        + context.channel().remoteAddress()
                        + " cause=\""
                        + cause
                        + "\"");
        write(context, RelayResponse.newBuilder().setCause(cause).build())
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static ChannelFuture write(ChannelHandlerContext context, RelayResponse response) {
        return context.writeAndFlush(Unpooled.wrappedBuffer(response.toByteArray()));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        endpoint.ifPresent(open -> open.config().setAutoRead(context.channel().isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endpoint.ifPresent(Channel::close);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /**
     * The endpoint's side of a relayed connection. Only the endpoint's own close is passed on as an
     * orderly one: it is stated at once, and followed by the close of the relayed connection, or by
     * its reset if a reset follows the endpoint's close. Confined to the traffic thread.
     */
    private static final class EndpointHandler extends ChannelInboundHandlerAdapter {
        private final Channel peer;
        private boolean closed;

        EndpointHandler(Channel peer) {
            this.peer = peer;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (peer.isActive()) {
                peer.writeAndFlush(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            peer.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                closed = true;
                // The empty frame of an orderly close.
                ChannelFuture stated = peer.writeAndFlush(Unpooled.EMPTY_BUFFER);
                ((ClientSocketChannel) context.channel())
                        .verifyClose(() -> end(context, stated), () -> reset(context));
            }
        }

        private static void end(ChannelHandlerContext context, ChannelFuture stated) {
            stated.addListener(ChannelFutureListener.CLOSE);
            context.close();
        }

        private void reset(ChannelHandlerContext context) {
            if (peer.isActive()) {
                peer.config().setOption(ChannelOption.SO_LINGER, 0);
                peer.close();
            }
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!closed) {
                peer.close();
            }
        }
    }
}
