package org.bronzelug.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.bronzelug.api.peer.Challenge;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.Proof;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Accepts connections of other daemons and answers their requests.
 *
 * <p>Invariant: no request reaches the handler before the peer has proved the secret. Thread-safe.
 */
public final class PeerServer {
    private final EventLoopGroup group;
    private final PeerSecret secret;
    private final PeerHandler handler;
    private final int maximumFrameBytes;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean stopped;
    private Channel channel;

    public PeerServer(
            EventLoopGroup group, PeerSecret secret, PeerHandler handler, int maximumFrameBytes) {
        this.group = group;
        this.secret = secret;
        this.handler = handler;
        this.maximumFrameBytes = maximumFrameBytes;
    }

    /** Starts to listen. */
    public synchronized void start(InetSocketAddress address) throws InterruptedException {
        channel =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new PeerPipeline(maximumFrameBytes, Connection::new))
                        .bind(address)
                        .sync()
                        .channel();
    }

    /** The port listened on. */
    public synchronized int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Stops to listen and ends all connections.
     *
     * <p>The failure: a connection accepted in the last moment is registered after the event loops
     * have closed theirs, and stays open with nobody to read it; its peer waits for its whole
     * deadline. A connection is noted before it looks at {@code stopped}, so either it is closed
     * here or it closes itself.
     */
    public synchronized void stop() {
        stopped = true;
        if (channel != null) {
            channel.close().awaitUninterruptibly();
        }
        accepted.close().awaitUninterruptibly();
    }

    /** One accepted connection; used by its event loop only. */
    private final class Connection extends SimpleChannelInboundHandler<Envelope> {
        private final ByteString nonce = secret.newNonce();
        private boolean proved;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            accepted.add(context.channel());
            if (stopped) {
                context.close();
                return;
            }
            Challenge challenge = Challenge.newBuilder().setNonce(nonce).build();
            context.writeAndFlush(Envelope.newBuilder().setChallenge(challenge).build());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            if (proved && envelope.hasKeepalive()) {
                context.writeAndFlush(envelope);
            } else if (proved) {
                answer(context, envelope);
            } else {
                prove(context, envelope.getProof());
            }
        }

        private void prove(ChannelHandlerContext context, Proof proof) {
            ByteString expected = secret.proof(PeerSecret.Role.CONNECTING, nonce, proof.getNonce());
            if (!PeerSecret.matches(expected, proof.getCode())) {
                refuse(context, "wrong proof of the peer secret");
                return;
            }
            proved = true;
            ByteString own = secret.proof(PeerSecret.Role.ACCEPTING, nonce, proof.getNonce());
            context.writeAndFlush(
                    Envelope.newBuilder().setProof(Proof.newBuilder().setCode(own)).build());
        }

        private void answer(ChannelHandlerContext context, Envelope request) {
            handler.handle(request)
                    .whenComplete(
                            (answer, failure) -> {
                                if (failure != null) {
                                    refuse(context, String.valueOf(failure.getMessage()));
                                    return;
                                }
                                answer.setExchange(request.getExchange());
                                context.writeAndFlush(answer.build());
                            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            refuse(context, String.valueOf(cause.getMessage()));
        }

        private void refuse(ChannelHandlerContext context, String reason) {
            EventLog.warn(
                    LogEvent.PEER_REFUSED,
                    "peer " + context.channel().remoteAddress() + ", reason: " + reason);
            context.close();
        }
    }
}
