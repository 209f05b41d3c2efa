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
 * Accepts connections from other daemons and passes their requests to a handler.
 *
 * <p>Invariant: no request reaches the handler before the peer has proved that it knows the peer
 * secret. Thread-safe.
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

    /** Binds the address and starts to accept connections. */
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

    /** Returns the port on which the server listens. */
    public synchronized int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Stops listening and closes all accepted connections.
     *
     * <p>A connection that is accepted during the stop is added to {@code accepted} before it
     * checks {@code stopped}, so either this method closes it or it closes itself. Without this, a
     * connection registered after the event loops closed theirs would stay open although nothing
     * reads it, and its peer would wait for its whole deadline.
     */
    public synchronized void stop() {
        stopped = true;
        if (channel != null) {
            channel.close().awaitUninterruptibly();
        }
        accepted.close().awaitUninterruptibly();
    }

    /** One accepted connection. Confined to its event loop. */
    private final class Connection extends SimpleChannelInboundHandler<Envelope> {
        private final ByteString nonce = secret.newNonce();
        private boolean peerProved;

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
            if (peerProved && envelope.hasKeepalive()) {
                context.writeAndFlush(envelope);
            } else if (peerProved) {
                respond(context, envelope);
            } else {
                verifyProof(context, envelope.getProof());
            }
        }

        private void verifyProof(ChannelHandlerContext context, Proof proof) {
            ByteString expected = secret.proof(PeerSecret.Role.CONNECTING, nonce, proof.getNonce());
            if (!PeerSecret.matches(expected, proof.getCode())) {
                reject(context, "the peer did not prove that it knows the peer secret");
                return;
            }
            peerProved = true;
            ByteString ownProof = secret.proof(PeerSecret.Role.ACCEPTING, nonce, proof.getNonce());
            context.writeAndFlush(
                    Envelope.newBuilder().setProof(Proof.newBuilder().setCode(ownProof)).build());
        }

        private void respond(ChannelHandlerContext context, Envelope request) {
            handler.handle(request)
                    .whenComplete(
                            (response, failure) -> {
                                if (failure != null) {
                                    reject(context, String.valueOf(failure.getMessage()));
                                    return;
                                }
                                response.setExchange(request.getExchange());
                                context.writeAndFlush(response.build());
                            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reject(context, String.valueOf(cause.getMessage()));
        }

        private void reject(ChannelHandlerContext context, String reason) {
            EventLog.warn(
                    LogEvent.PEER_REFUSED,
                    "peer " + context.channel().remoteAddress() + ", reason: " + reason);
            context.close();
        }
    }
}
