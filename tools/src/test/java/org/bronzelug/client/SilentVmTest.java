package org.bronzelug.client;

import static com.google.common.truth.Truth.assertThat;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.bronzelug.api.Chunk;
import org.bronzelug.api.Execution;
import org.bronzelug.api.Finished;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.api.LocateRequest;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.api.VmAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against calls that hang for a minute when a VM freezes without closing its connections.
 *
 * <p>The VM freezes before the call, during a stream, or while an action runs. The client must
 * detect this and fail over to another VM. A client that waits only for a closed connection or the
 * deadline would hang.
 */
@Timeout(60)
class SilentVmTest {
    private static final int CHUNKS = 12;
    private static final int FREEZE_AFTER_CHUNKS = 5;

    private final Channels channels = new Channels();
    private final VmStandin frozen = new VmStandin("frozen", FREEZE_AFTER_CHUNKS);
    private final VmStandin sound = new VmStandin("sound", CHUNKS);
    private final List<Server> servers = new ArrayList<>();
    private List<String> addresses;

    /**
     * A VM that freezes after sending the given number of chunks, unless the stream is complete.
     */
    private static final class VmStandin extends RouterGrpc.RouterImplBase {
        private final String name;
        private final int chunksBeforeFreeze;
        private final AtomicInteger locatesToIgnore = new AtomicInteger();
        private volatile boolean silent;
        private volatile LocateAnswer location = LocateAnswer.getDefaultInstance();

        VmStandin(String name, int chunksBeforeFreeze) {
            this.name = name;
            this.chunksBeforeFreeze = chunksBeforeFreeze;
        }

        @Override
        public void locate(LocateRequest request, StreamObserver<LocateAnswer> observer) {
            boolean ignored = locatesToIgnore.getAndDecrement() > 0;
            if (!silent && !ignored) {
                observer.onNext(location);
                observer.onCompleted();
            }
        }

        @Override
        public void generate(GenerateRequest request, StreamObserver<GenerateEvent> observer) {
            int end =
                    Math.min(request.getMaxTokens(), request.getStartOffset() + chunksBeforeFreeze);
            for (int offset = request.getStartOffset(); offset < end; offset++) {
                Chunk chunk = Chunk.newBuilder().setOffset(offset).setText("word ").build();
                observer.onNext(GenerateEvent.newBuilder().setChunk(chunk).build());
            }
            silent = end < request.getMaxTokens();
            if (!silent) {
                Finished finished = Finished.newBuilder().setVm(name).setChunks(end).build();
                observer.onNext(GenerateEvent.newBuilder().setFinished(finished).build());
                observer.onCompleted();
            }
        }

        @Override
        public void runAction(RunActionRequest request, StreamObserver<RunActionAnswer> observer) {
            silent = chunksBeforeFreeze < CHUNKS;
            if (!silent) {
                observer.onNext(
                        RunActionAnswer.newBuilder()
                                .setExecution(Execution.IN_DOUBT)
                                .setVm(name)
                                .build());
                observer.onCompleted();
            }
        }
    }

    @BeforeEach
    void start() throws Exception {
        List<String> started = new ArrayList<>();
        LocateAnswer.Builder location = LocateAnswer.newBuilder();
        for (VmStandin vm : List.of(frozen, sound)) {
            InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Server server = NettyServerBuilder.forAddress(anyPort).addService(vm).build().start();
            servers.add(server);
            started.add("127.0.0.1:" + server.getPort());
            location.addVms(VmAddress.newBuilder().setAddress(started.getLast()));
        }
        addresses = List.copyOf(started);
        frozen.location = location.build();
        sound.location = location.build();
    }

    @AfterEach
    void stop() {
        channels.close();
        servers.forEach(Server::shutdownNow);
    }

    private RouterClient client(List<String> vms) {
        return new RouterClient(channels, Credential.ofKey("key"), vms);
    }

    /**
     * The only known VM misses the deadline of the first locate call, as on a busy machine. The
     * client must ask it again.
     */
    @Test
    void locateIsRetriedOnTheOnlyKnownVm() throws Exception {
        sound.locatesToIgnore.set(1);
        assertThat(client(List.of(addresses.get(1))).locate("model", "root").getVmsCount())
                .isEqualTo(2);
    }

    @Test
    void streamResumesOnAnotherVmWhenItsVmFreezes() throws Exception {
        GenerateRequest request =
                GenerateRequest.newBuilder()
                        .setRequestId("stream")
                        .addSegments("rules")
                        .setMaxTokens(CHUNKS)
                        .build();
        List<Integer> offsets = new ArrayList<>();
        Finished finished =
                client(addresses).generate(request, chunk -> offsets.add(chunk.getOffset()));
        assertThat(offsets).isEqualTo(IntStream.range(0, CHUNKS).boxed().toList());
        assertThat(finished.getVm()).isEqualTo("sound");
    }

    @Test
    void actionIsRetriedOnAnotherVmWhenItsVmFreezes() throws Exception {
        RunActionAnswer answer =
                client(addresses).runAction(RunActionRequest.getDefaultInstance(), sound.location);
        assertThat(answer.getVm()).isEqualTo("sound");
    }

    @Test
    void locateSkipsAVmThatNeverResponds() throws Exception {
        try (ServerSocket silentSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String silent = "127.0.0.1:" + silentSocket.getLocalPort();
            LocateAnswer answer = client(List.of(silent, addresses.get(1))).locate("model", "");
            assertThat(answer.getVmsCount()).isEqualTo(2);
        }
    }
}
