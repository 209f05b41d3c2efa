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
 * Exchanges between daemons: each gets its own answer, and bad input harms its connection only.
 *
 * <p>What the caller would see: the answer to another's request. The order: an answer comes after
 * its request was given up, when the next request is already on the connection.
 */
class PeerNetworkTest {
    private static final int MAXIMUM_FRAME = 65_536;
    private static final long LONG_MILLIS = 60_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PeerSecret secret = new PeerSecret("a-secret-of-the-daemons");
    private final ConcurrentLinkedQueue<Held> held = new ConcurrentLinkedQueue<>();
    private PeerServer server;
    private PeerConnection connection;

    /** A request whose answer the test gives when it likes. */
    private record Held(Envelope request, CompletableFuture<Envelope.Builder> answer) {}

    @BeforeEach
    void start() throws Exception {
        server = new PeerServer(group, secret, this::hold, MAXIMUM_FRAME);
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        connection = connect(secret);
    }

    @AfterEach
    void stop() {
        server.stop();
        group.shutdownGracefully();
    }

    private CompletableFuture<Envelope.Builder> hold(Envelope request) {
        CompletableFuture<Envelope.Builder> answer = new CompletableFuture<>();
        held.add(new Held(request, answer));
        return answer;
    }

    private PeerConnection connect(PeerSecret with) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        return PeerConnection.open(group, address, with, MAXIMUM_FRAME);
    }

    private CompletableFuture<Envelope> ask(String name, long timeoutMillis) {
        Envelope.Builder request = Envelope.newBuilder().setProbe(Probe.newBuilder().setVm(name));
        return connection.exchange(request, timeoutMillis);
    }

    private Held next() {
        Held next = held.poll();
        while (next == null) {
            Thread.onSpinWait();
            next = held.poll();
        }
        return next;
    }

    private static void answer(Held held) {
        ProbeAnswer.Builder answer =
                ProbeAnswer.newBuilder().setVm(held.request.getProbe().getVm());
        held.answer.complete(Envelope.newBuilder().setProbeAnswer(answer));
    }

    @Test
    void crossedAnswersReachTheirOwnRequests() {
        CompletableFuture<Envelope> first = ask("first", LONG_MILLIS);
        Held heldFirst = next();
        CompletableFuture<Envelope> second = ask("second", LONG_MILLIS);
        Held heldSecond = next();
        answer(heldSecond);
        answer(heldFirst);
        assertThat(first.join().getProbeAnswer().getVm()).isEqualTo("first");
        assertThat(second.join().getProbeAnswer().getVm()).isEqualTo("second");
    }

    @Test
    void aLateAnswerReachesNoOtherRequest() {
        CompletableFuture<Envelope> first = ask("first", LONG_MILLIS);
        Held late = next();
        first.cancel(false);
        CompletableFuture<Envelope> second = ask("second", LONG_MILLIS);
        Held heldSecond = next();
        answer(late);
        answer(heldSecond);
        assertThat(second.join().getProbeAnswer().getVm()).isEqualTo("second");
    }

    /**
     * The caller would wait for its whole deadline. The order: the peer's kernel accepts, but its
     * process is frozen and never says a word; no connection breaks.
     */
    @Test
    void aPeerThatNeverSaysAWordFailsTheExchange() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) mute.getLocalSocketAddress();
            PeerConnection toMute = PeerConnection.open(group, address, secret, MAXIMUM_FRAME);
            CompletableFuture<Envelope> answer =
                    toMute.exchange(Envelope.newBuilder(), LONG_MILLIS);
            assertThrows(CompletionException.class, answer::join);
            assertThat(toMute.isClosed()).isTrue();
        }
    }

    /** A peer that lives, but takes long over one answer, is not taken for silent. */
    @Test
    void aSlowAnswerOfALivePeerIsAwaited() {
        CompletableFuture<Envelope> slow = ask("slow", LONG_MILLIS);
        Held heldSlow = next();
        while (connection.keepalivesSent() <= PeerConnection.SILENT_CHECKS) {
            Thread.onSpinWait();
        }
        answer(heldSlow);
        assertThat(slow.join().getProbeAnswer().getVm()).isEqualTo("slow");
    }

    @Test
    void aPeerWithoutTheSecretIsNotHeard() {
        PeerConnection stranger = connect(new PeerSecret("another-secret-altogether"));
        CompletableFuture<Envelope> answer =
                stranger.exchange(Envelope.newBuilder().setProbe(Probe.newBuilder()), 5_000);
        assertThrows(CompletionException.class, answer::join);
        assertThat(held).isEmpty();
    }

    /** A frame that is oversized or garbage closes its own connection; others go on. */
    @ParameterizedTest
    @ValueSource(ints = {0x7fffffff, MAXIMUM_FRAME + 1, 9})
    void aMalformedFrameClosesItsOwnConnectionOnly(int length) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(length);
            out.write(new byte[] {-1, -1, -1, -1, -1, -1, -1, -1, -1});
            out.flush();
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                // The challenge comes first, then the end of the stream.
                continue;
            }
        }
        CompletableFuture<Envelope> answer = ask("other", LONG_MILLIS);
        answer(next());
        assertThat(answer.join().getProbeAnswer().getVm()).isEqualTo("other");
    }

    @Test
    void aProofCanNeitherBeReplayedNorReflected() {
        ByteString one = secret.newNonce();
        ByteString other = secret.newNonce();
        ByteString proof = secret.proof(PeerSecret.Role.CONNECTING, one, other);
        assertThat(proof).isNotEqualTo(secret.proof(PeerSecret.Role.ACCEPTING, one, other));
        assertThat(proof)
                .isNotEqualTo(secret.proof(PeerSecret.Role.CONNECTING, secret.newNonce(), other));
    }
}
