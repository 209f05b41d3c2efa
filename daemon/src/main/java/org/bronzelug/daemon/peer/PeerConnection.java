package org.bronzelug.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.Keepalive;
import org.bronzelug.api.peer.Proof;

/**
 * The connecting end of one connection to a peer daemon, which multiplexes many request/response
 * exchanges.
 *
 * <p>Invariant: a response completes the exchange whose number it carries, or none. Exchange
 * numbers are never reused on a connection, so a response that arrives after its exchange timed out
 * finds no open exchange and is dropped. Without this, it would complete the next exchange. The
 * number of open exchanges is bounded.
 *
 * <p>Invariant: no exchange outlasts its peer. While exchanges are open and nothing is received,
 * this end sends keepalives; {@link #SILENT_CHECKS} consecutive checks without a received message
 * close the connection. Without this, a request to a frozen peer, or over a network that silently
 * drops packets, would wait for its whole deadline. A peer answers keepalives on its event loop,
 * however long its handlers take. A pause of this process counts as one check at most, so it does
 * not close the connection to a healthy peer.
 *
 * <p>Thread-safe: state is changed under this object's lock.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
    private static final int MAXIMUM_OPEN_EXCHANGES = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** The interval at which a connection that receives nothing is checked. */
    static final int SILENT_CHECK_MILLIS = 500;

    /**
     * The number of consecutive checks without a received message that closes a connection with
     * open exchanges.
     */
    static final int SILENT_CHECKS = 3;

    private final PeerSecret secret;
    private final ByteString nonce;
    private final Map<Long, CompletableFuture<Envelope>> openExchanges = new HashMap<>();
    private final Queue<Envelope> unsentRequests = new ArrayDeque<>();
    private ByteString acceptorNonce = ByteString.EMPTY;
    private boolean peerProved;
    private long lastExchangeNumber;
    private int silentChecks;
    private long keepalivesSent;
    private ChannelHandlerContext context;
    private volatile boolean closed;

    private PeerConnection(PeerSecret secret) {
        this.secret = secret;
        this.nonce = secret.newNonce();
    }

    /**
     * Starts to connect and returns at once. Requests are queued until the peer has proved that it
     * knows the secret.
     */
    static PeerConnection open(
            EventLoopGroup group,
            InetSocketAddress address,
            PeerSecret secret,
            int maximumFrameBytes) {
        PeerConnection connection = new PeerConnection(secret);
        new Bootstrap()
                .group(group.next())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new PeerPipeline(maximumFrameBytes, () -> connection))
                .connect(address)
                .addListener(
                        result -> {
                            if (!result.isSuccess()) {
                                connection.failAll("connecting to " + address + " failed");
                            }
                        });
        return connection;
    }

    /** Returns whether the connection has ended, so that every further request fails. */
    boolean isClosed() {
        return closed;
    }

    /** Closes the connection and fails its open exchanges. */
    void close() {
        failAndClose("this VM is stopping");
    }

    synchronized long keepalivesSent() {
        return keepalivesSent;
    }

    /**
     * Sends a request.
     *
     * @param timeoutMillis after which the returned future fails with a timeout
     * @return the response, once it arrives
     */
    CompletableFuture<Envelope> exchange(Envelope.Builder request, long timeoutMillis) {
        CompletableFuture<Envelope> response = new CompletableFuture<>();
        enqueue(request, response);
        return response.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void enqueue(
            Envelope.Builder request, CompletableFuture<Envelope> response) {
        if (closed || openExchanges.size() >= MAXIMUM_OPEN_EXCHANGES) {
            response.completeExceptionally(
                    new PeerException(
                            "the connection is closed or has too many open exchanges", false));
            return;
        }
        long exchange = ++lastExchangeNumber;
        openExchanges.put(exchange, response);
        response.whenComplete((envelope, failure) -> removeExchange(exchange));
        Envelope envelope = request.setExchange(exchange).build();
        if (peerProved) {
            context.writeAndFlush(envelope);
        } else {
            unsentRequests.add(envelope);
        }
    }

    private synchronized void removeExchange(long exchange) {
        openExchanges.remove(exchange);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channel) {
        IdleStateHandler idleHandler =
                new IdleStateHandler(SILENT_CHECK_MILLIS, 0, 0, TimeUnit.MILLISECONDS);
        channel.pipeline().addFirst(idleHandler);
        synchronized (this) {
            context = channel;
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext channel) {
        if (closed) {
            channel.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) {
        if (event instanceof IdleStateEvent && isSilentTooLong(channel)) {
            failAndClose("nothing was received from the peer for too long");
        }
    }

    private synchronized boolean isSilentTooLong(ChannelHandlerContext channel) {
        if (openExchanges.isEmpty()) {
            silentChecks = 0;
            return false;
        }
        silentChecks++;
        if (peerProved) {
            keepalivesSent++;
            channel.writeAndFlush(
                    Envelope.newBuilder().setKeepalive(Keepalive.getDefaultInstance()).build());
        }
        return silentChecks >= SILENT_CHECKS;
    }

    private synchronized void resetSilentChecks() {
        silentChecks = 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, Envelope envelope)
            throws PeerException {
        resetSilentChecks();
        switch (envelope.getBodyCase()) {
            case CHALLENGE -> sendProof(channel, envelope);
            case PROOF -> checkProof(channel, envelope.getProof());
            case KEEPALIVE -> {
                // Its arrival has reset the silence checks; it carries nothing else.
            }
            default -> complete(envelope);
        }
    }

    private synchronized void sendProof(ChannelHandlerContext channel, Envelope envelope) {
        acceptorNonce = envelope.getChallenge().getNonce();
        ByteString code = secret.proof(PeerSecret.Role.CONNECTING, acceptorNonce, nonce);
        Proof proof = Proof.newBuilder().setNonce(nonce).setCode(code).build();
        channel.writeAndFlush(Envelope.newBuilder().setProof(proof).build());
    }

    private synchronized void checkProof(ChannelHandlerContext channel, Proof proof)
            throws PeerException {
        ByteString expected = secret.proof(PeerSecret.Role.ACCEPTING, acceptorNonce, nonce);
        if (!PeerSecret.matches(expected, proof.getCode())) {
            throw new PeerException("the peer did not prove that it knows the peer secret", false);
        }
        peerProved = true;
        unsentRequests.forEach(channel::write);
        unsentRequests.clear();
        channel.flush();
    }

    private void complete(Envelope envelope) throws PeerException {
        CompletableFuture<Envelope> response;
        synchronized (this) {
            if (!peerProved) {
                throw new PeerException(
                        "the peer sent a message before it proved the peer secret", false);
            }
            response = openExchanges.get(envelope.getExchange());
        }
        if (response != null) {
            response.complete(envelope);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        failAll("the connection was lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        failAndClose(String.valueOf(cause.getMessage()));
    }

    private void failAndClose(String reason) {
        failAll(reason);
        ChannelHandlerContext channel;
        synchronized (this) {
            channel = context;
        }
        if (channel != null) {
            channel.close();
        }
    }

    private void failAll(String reason) {
        Map<Long, CompletableFuture<Envelope>> failed;
        boolean mayHaveArrived;
        synchronized (this) {
            closed = true;
            mayHaveArrived = peerProved;
            failed = new HashMap<>(openExchanges);
            openExchanges.clear();
        }
        failed.values()
                .forEach(
                        response ->
                                response.completeExceptionally(
                                        new PeerException(reason, mayHaveArrived)));
    }
}
