package org.bronzelug.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.Probe;
import org.bronzelug.api.peer.ProbeAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an exchange that gets the response of another one: the response arrives after its
 * request was cancelled, when the next request is already on the connection. Also guards against
 * silent or unauthenticated peers and malformed frames that affect other exchanges.
 */
class PeerNetworkTest {
    private static final int MAXIMUM_FRAME = 65_536;
    private static final long LONG_MILLIS = 60_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PeerSecret secret = new PeerSecret("a-secret-of-the-daemons");
    private final ConcurrentLinkedQueue<HeldRequest> held = new ConcurrentLinkedQueue<>();
    private PeerServer server;
    private PeerConnection connection;

    /** A received request, to which the test responds later. */
    private record HeldRequest(Envelope request, CompletableFuture<Envelope.Builder> response) {}

    @BeforeEach
    void start() throws Exception {
        server = new PeerServer(group, secret, this::holdRequest, MAXIMUM_FRAME);
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        connection = connect(secret);
    }

    @AfterEach
    void stop() {
        server.stop();
        group.shutdownGracefully();
    }

    private CompletableFuture<Envelope.Builder> holdRequest(Envelope request) {
        CompletableFuture<Envelope.Builder> response = new CompletableFuture<>();
        held.add(new HeldRequest(request, response));
        return response;
    }

    private PeerConnection connect(PeerSecret peerSecret) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        return PeerConnection.open(group, address, peerSecret, MAXIMUM_FRAME);
    }

    private CompletableFuture<Envelope> sendProbe(String name, long timeoutMillis) {
        Envelope.Builder request = Envelope.newBuilder().setProbe(Probe.newBuilder().setVm(name));
        return connection.exchange(request, timeoutMillis);
    }

    private HeldRequest nextHeldRequest() {
        HeldRequest next = held.poll();
        while (next == null) {
            Thread.onSpinWait();
            next = held.poll();
        }
        return next;
    }

    private static void respondTo(HeldRequest held) {
        ProbeAnswer.Builder response =
                ProbeAnswer.newBuilder().setVm(held.request.getProbe().getVm());
        held.response.complete(Envelope.newBuilder().setProbeAnswer(response));
    }

    @Test
    void responsesOutOfOrderReachTheirOwnRequests() {
        CompletableFuture<Envelope> first = sendProbe("first", LONG_MILLIS);
        HeldRequest heldFirst = nextHeldRequest();
        CompletableFuture<Envelope> second = sendProbe("second", LONG_MILLIS);
        HeldRequest heldSecond = nextHeldRequest();
        respondTo(heldSecond);
        respondTo(heldFirst);
        assertThat(first.join().getProbeAnswer().getVm()).isEqualTo("first");
        assertThat(second.join().getProbeAnswer().getVm()).isEqualTo("second");
    }

    @Test
    void lateResponseReachesNoOtherRequest() {
        CompletableFuture<Envelope> first = sendProbe("first", LONG_MILLIS);
        HeldRequest lateRequest = nextHeldRequest();
        first.cancel(false);
        CompletableFuture<Envelope> second = sendProbe("second", LONG_MILLIS);
        HeldRequest heldSecond = nextHeldRequest();
        respondTo(lateRequest);
        respondTo(heldSecond);
        assertThat(second.join().getProbeAnswer().getVm()).isEqualTo("second");
    }

    /**
     * Guards against a request that waits for its whole deadline: the peer's kernel accepts the
     * connection, but its process is frozen and never sends anything, so no connection breaks.
     */
    @Test
    void exchangeWithPeerThatNeverSendsFails() throws Exception {
        try (ServerSocket silentPeer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) silentPeer.getLocalSocketAddress();
            PeerConnection toSilentPeer =
                    PeerConnection.open(group, address, secret, MAXIMUM_FRAME);
            CompletableFuture<Envelope> response =
                    toSilentPeer.exchange(Envelope.newBuilder(), LONG_MILLIS);
            assertThrows(CompletionException.class, response::join);
            assertThat(toSilentPeer.isClosed()).isTrue();
        }
    }

    /**
     * Guards against a connection that is closed as silent while a live peer handles a slow
     * request.
     */
    @Test
    void slowResponseOfLivePeerIsAwaited() {
        CompletableFuture<Envelope> slowResponse = sendProbe("slow", LONG_MILLIS);
        HeldRequest heldSlow = nextHeldRequest();
        while (connection.keepalivesSent() <= PeerConnection.SILENT_CHECKS) {
            Thread.onSpinWait();
        }
        respondTo(heldSlow);
        assertThat(slowResponse.join().getProbeAnswer().getVm()).isEqualTo("slow");
    }

    @Test
    void requestFromPeerWithoutTheSecretIsNotHandled() {
        PeerConnection unauthenticated = connect(new PeerSecret("another-secret-altogether"));
        CompletableFuture<Envelope> response =
                unauthenticated.exchange(Envelope.newBuilder().setProbe(Probe.newBuilder()), 5_000);
        assertThrows(CompletionException.class, response::join);
        assertThat(held).isEmpty();
    }

    /** Guards against an oversized or malformed frame that affects other connections. */
    @ParameterizedTest
    @ValueSource(ints = {0x7fffffff, MAXIMUM_FRAME + 1, 9})
    void malformedFrameClosesOnlyItsOwnConnection(int length) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(length);
            out.write(new byte[] {-1, -1, -1, -1, -1, -1, -1, -1, -1});
            out.flush();
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                // The server sends the challenge, then closes the connection.
                continue;
            }
        }
        CompletableFuture<Envelope> response = sendProbe("other", LONG_MILLIS);
        respondTo(nextHeldRequest());
        assertThat(response.join().getProbeAnswer().getVm()).isEqualTo("other");
    }

    @Test
    void proofCanNeitherBeReplayedNorReflected() {
        ByteString acceptorNonce = secret.newNonce();
        ByteString connectorNonce = secret.newNonce();
        ByteString proof = secret.proof(PeerSecret.Role.CONNECTING, acceptorNonce, connectorNonce);
        assertThat(proof)
                .isNotEqualTo(
                        secret.proof(PeerSecret.Role.ACCEPTING, acceptorNonce, connectorNonce));
        assertThat(proof)
                .isNotEqualTo(
                        secret.proof(
                                PeerSecret.Role.CONNECTING, secret.newNonce(), connectorNonce));
    }
}
