package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.http.PooledHttpClient;
import org.bronzelug.router.http.SmallHttpServer;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that polls a peer and serves requests by a replaced configuration. The peer
 * is reached over real connections.
 */
class PeerFeedTest {
    private static final String KIND = OneModelDecoder.WEIGHTS;
    private static final long WARM_UP_SECONDS = 30;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop control = group.next();
    private final ControlState served = new ControlState(new OneModelDecoder(), 0, 1_200);
    private final ControlState polling = new ControlState(new OneModelDecoder(), 0, 1_200);
    private final PeerFeed feed = new PeerFeed(control, served);
    private final PeerReader reader = new PeerReader(control, polling, polling::onChange);
    private SmallHttpServer server;
    private PooledHttpClient peer;

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress address;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
        }
        server =
                new SmallHttpServer(
                        "feed",
                        control,
                        address,
                        uri -> feed.changesResponse(new QueryStringDecoder(uri)));
        server.start();
        peer = new PooledHttpClient(control, address);
        warmUp();
    }

    /**
     * Makes a first read, with retries as a VM makes them: the first exchange of a process loads
     * hundreds of classes, which takes longer than the read's timeout where processors are scarce.
     */
    private void warmUp() throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS);
        boolean responded = false;
        while (!responded && System.nanoTime() < deadlineNanos) {
            responded = read(0).handle((nothing, failure) -> failure == null).get();
        }
        assertThat(responded).isTrue();
    }

    @AfterEach
    void stop() {
        server.stop();
        group.shutdownGracefully();
    }

    private <T> T onControl(Callable<T> step) throws Exception {
        return control.submit(step).get(10, TimeUnit.SECONDS);
    }

    private CompletableFuture<Void> read(long waitMillis) throws Exception {
        return onControl(() -> reader.read(peer, waitMillis));
    }

    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[] {(byte) revision});
    }

    /**
     * A poll is pending when one object changes and another is removed: its response contains both,
     * and the polling VM applies them.
     */
    @Test
    void pendingPollReturnsAChangeAndARemoval() throws Exception {
        onControl(
                () ->
                        served.mirror(KIND)
                                .replaceAll(new ItemList(List.of(item("m", 3), item("n", 4)), 5)));
        read(0).get(10, TimeUnit.SECONDS);
        assertThat(onControl(() -> polling.mirror(KIND).items())).hasSize(2);
        CompletableFuture<Void> pendingPoll = read(60_000);
        ItemChanges changes =
                new ItemChanges(
                        List.of(
                                new ItemChanges.ItemChange(item("m", 6), false),
                                new ItemChanges.ItemChange(item("n", 7), true)),
                        7);
        onControl(() -> served.mirror(KIND).apply(changes));
        onControl(
                () -> {
                    feed.onChange(KIND);
                    return true;
                });
        pendingPoll.get(10, TimeUnit.SECONDS);
        assertThat(onControl(() -> polling.mirror(KIND).items())).hasSize(1);
        assertThat(onControl(() -> polling.weights().get("m").version())).isEqualTo(6);
        assertThat(onControl(() -> polling.mirror(KIND).revision())).isEqualTo(7);
    }

    /** A peer that is itself behind must not roll back the objects of the VM that reads from it. */
    @Test
    void readFromAPeerThatIsBehindChangesNothing() throws Exception {
        onControl(() -> served.mirror(KIND).replaceAll(new ItemList(List.of(item("m", 3)), 5)));
        onControl(() -> polling.mirror(KIND).replaceAll(new ItemList(List.of(), 9)));
        read(0).get(10, TimeUnit.SECONDS);
        assertThat(onControl(() -> polling.mirror(KIND).items())).isEmpty();
        assertThat(onControl(() -> polling.mirror(KIND).revision())).isEqualTo(9);
    }
}
