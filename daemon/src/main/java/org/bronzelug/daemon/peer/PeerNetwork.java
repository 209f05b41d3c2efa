package org.bronzelug.daemon.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.daemon.settings.Addresses;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;

/**
 * Exchanges requests and responses with the other daemons, in both directions.
 *
 * <p>Thread-safe. When a connection is lost, its open exchanges fail at once; the next exchange
 * with that peer opens a new connection.
 */
@Singleton
public final class PeerNetwork implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "peers";

    private static final int EVENT_LOOPS = 2;

    private final Settings settings;
    private final EventLoopGroup group;
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Map<Envelope.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
    private PeerSecret secret;
    private PeerServer server;
    private volatile boolean stopped;

    @Inject
    public PeerNetwork(Settings settings) {
        this.settings = settings;
        this.group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Sets the handler for requests of one kind. Must be called before {@link #start}. */
    public void setHandler(Envelope.BodyCase kind, PeerHandler handler) {
        handlers.put(kind, handler);
    }

    @Override
    public void start() throws ServiceException {
        try {
            secret = PeerSecret.read(Path.of(settings.peerSecretFile()));
            int maximum = settings.limits().maximumPeerFrameBytes();
            server = new PeerServer(group, secret, this::dispatch, maximum);
            server.start(Addresses.parse(settings.listen().peers()));
        } catch (IOException unreadable) {
            throw new ServiceException("peerSecretFile: " + unreadable.getMessage(), unreadable);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new ServiceException("interrupted while listening for peers", interrupted);
        }
    }

    /** Returns the address at which other daemons reach this one. */
    public String address() {
        if (settings.advertise().peers().isPresent()) {
            return settings.advertise().peers().get();
        }
        return listenAddress();
    }

    /** Returns the address on which this daemon listens for other daemons. */
    public String listenAddress() {
        return Addresses.withPort(settings.listen().peers(), server.port());
    }

    /**
     * Sends a request to the daemon at an address.
     *
     * @param timeoutMillis after which the returned future fails with a timeout
     * @return the response, once it arrives
     */
    public CompletableFuture<Envelope> exchange(
            String address, Envelope.Builder request, long timeoutMillis) {
        if (stopped) {
            return stoppingFailure();
        }
        try {
            return connectionTo(address).exchange(request, timeoutMillis);
        } catch (RejectedExecutionException shutDown) {
            return stoppingFailure();
        }
    }

    private PeerConnection connectionTo(String address) {
        return connections.compute(
                address,
                (ignored, existing) ->
                        existing == null || existing.isClosed() ? connect(address) : existing);
    }

    /**
     * Returns the failure of an exchange that is requested during or after the stop. It is also
     * needed where the event loops end after {@code stopped} was checked and before they are used.
     */
    private static CompletableFuture<Envelope> stoppingFailure() {
        return CompletableFuture.failedFuture(new PeerException("this VM is stopping", false));
    }

    private PeerConnection connect(String address) {
        InetSocketAddress remote = Addresses.parse(address);
        int maximum = settings.limits().maximumPeerFrameBytes();
        return PeerConnection.open(group, remote, secret, maximum);
    }

    private CompletableFuture<Envelope.Builder> dispatch(Envelope request) {
        PeerHandler handler = handlers.get(request.getBodyCase());
        if (handler == null) {
            return CompletableFuture.failedFuture(
                    new PeerException(
                            "no handler for the message type " + request.getBodyCase(), false));
        }
        return handler.handle(request);
    }

    @Override
    public void stop() {
        stopped = true;
        if (server != null) {
            server.stop();
        }
        connections.values().forEach(PeerConnection::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
