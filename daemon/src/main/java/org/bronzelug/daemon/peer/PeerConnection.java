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
 * One connection to a peer, for many exchanges at once.
 *
 * <p>Invariant: an answer completes the exchange whose number it carries, or none. The failure this
 * guards against: an answer comes after its exchange timed out, and is taken for the next one's.
 * Numbers are never used twice on a connection, so a late answer finds no exchange and is dropped.
 * The number of open exchanges is bounded.
 *
 * <p>Invariant: no exchange outlasts its peer. The failure: the peer freezes, or a network drops
 * all without a word, and the caller waits for its whole deadline though the peer is long gone.
 * While answers are awaited and nothing comes, keepalives are sent; {@link #SILENT_CHECKS} looks in
 * vain end the connection. A peer answers them on its event loop, however long its handlers take;
 * and a pause of this process counts as one look at most, so it condemns no peer.
 *
 * <p>Thread-safe: state is changed under this object's lock.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
    private static final int MAXIMUM_OPEN_EXCHANGES = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** How often a connection that nothing came on is looked at. */
    static final int SILENT_CHECK_MILLIS = 500;

    /** So many looks in a row with nothing heard end a connection that owes answers. */
    static final int SILENT_CHECKS = 3;

    private final PeerSecret secret;
    private final ByteString nonce;
    private final Map<Long, CompletableFuture<Envelope>> open = new HashMap<>();
    private final Queue<Envelope> untilProved = new ArrayDeque<>();
    private ByteString acceptorNonce = ByteString.EMPTY;
    private boolean proved;
    private long lastExchange;
    private int silentLooks;
    private long keepalivesSent;
    private ChannelHandlerContext context;
    private volatile boolean closed;

    private PeerConnection(PeerSecret secret) {
        this.secret = secret;
        this.nonce = secret.newNonce();
    }

    /** Starts to connect; requests made meanwhile wait. */
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

    /** Whether requests are of no use any more. */
    boolean isClosed() {
        return closed;
    }

    /** Ends the connection and fails its exchanges. */
    void close() {
        end("this VM stops");
    }

    synchronized long keepalivesSent() {
        return keepalivesSent;
    }

    /** Sends a request and awaits its answer, at most so long. */
    CompletableFuture<Envelope> exchange(Envelope.Builder request, long timeoutMillis) {
        CompletableFuture<Envelope> answer = new CompletableFuture<>();
        enqueue(request, answer);
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void enqueue(
            Envelope.Builder request, CompletableFuture<Envelope> answer) {
        if (closed || open.size() >= MAXIMUM_OPEN_EXCHANGES) {
            answer.completeExceptionally(new PeerException("the connection is closed", false));
            return;
        }
        long exchange = ++lastExchange;
        open.put(exchange, answer);
        answer.whenComplete((envelope, failure) -> forget(exchange));
        Envelope envelope = request.setExchange(exchange).build();
        if (proved) {
            context.writeAndFlush(envelope);
        } else {
            untilProved.add(envelope);
        }
    }

    private synchronized void forget(long exchange) {
        open.remove(exchange);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channel) {
        IdleStateHandler looks =
                new IdleStateHandler(SILENT_CHECK_MILLIS, 0, 0, TimeUnit.MILLISECONDS);
        channel.pipeline().addFirst(looks);
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
            end("the peer fell silent");
        }
    }

    private synchronized boolean isSilentTooLong(ChannelHandlerContext channel) {
        if (open.isEmpty()) {
            silentLooks = 0;
            return false;
        }
        silentLooks++;
        if (proved) {
            keepalivesSent++;
            channel.writeAndFlush(
                    Envelope.newBuilder().setKeepalive(Keepalive.getDefaultInstance()).build());
        }
        return silentLooks >= SILENT_CHECKS;
    }

    private synchronized void noteHeard() {
        silentLooks = 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, Envelope envelope)
            throws PeerException {
        noteHeard();
        switch (envelope.getBodyCase()) {
            case CHALLENGE -> prove(channel, envelope);
            case PROOF -> checkProof(channel, envelope.getProof());
            case KEEPALIVE -> {
                // It said all by coming.
            }
            default -> complete(envelope);
        }
    }

    private synchronized void prove(ChannelHandlerContext channel, Envelope envelope) {
        acceptorNonce = envelope.getChallenge().getNonce();
        ByteString code = secret.proof(PeerSecret.Role.CONNECTING, acceptorNonce, nonce);
        Proof proof = Proof.newBuilder().setNonce(nonce).setCode(code).build();
        channel.writeAndFlush(Envelope.newBuilder().setProof(proof).build());
    }

    private synchronized void checkProof(ChannelHandlerContext channel, Proof proof)
            throws PeerException {
        ByteString expected = secret.proof(PeerSecret.Role.ACCEPTING, acceptorNonce, nonce);
        if (!PeerSecret.matches(expected, proof.getCode())) {
            throw new PeerException("the peer does not know the peer secret", false);
        }
        proved = true;
        untilProved.forEach(channel::write);
        untilProved.clear();
        channel.flush();
    }

    private void complete(Envelope envelope) throws PeerException {
        CompletableFuture<Envelope> answer;
        synchronized (this) {
            if (!proved) {
                throw new PeerException("the peer sent a message before its proof", false);
            }
            answer = open.get(envelope.getExchange());
        }
        if (answer != null) {
            answer.complete(envelope);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        failAll("the connection was lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        end(String.valueOf(cause.getMessage()));
    }

    private void end(String reason) {
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
        boolean maySent;
        synchronized (this) {
            closed = true;
            maySent = proved;
            failed = new HashMap<>(open);
            open.clear();
        }
        failed.values()
                .forEach(
                        answer -> answer.completeExceptionally(new PeerException(reason, maySent)));
    }
}
