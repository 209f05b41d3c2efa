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
 * A caller goes on at another VM when its VM freezes.
 *
 * <p>What the caller would see: an answer that stands still for a minute. The order: the VM is
 * frozen before the call, in the middle of a stream, or while an action runs, and no connection
 * breaks. Why: only the end of a connection or of the time ended a call.
 */
@Timeout(60)
class SilentVmTest {
    private static final int CHUNKS = 12;
    private static final int FROZEN_AFTER = 5;

    private final Channels channels = new Channels();
    private final VmStandin frozen = new VmStandin("frozen", FROZEN_AFTER);
    private final VmStandin sound = new VmStandin("sound", CHUNKS);
    private final List<Server> servers = new ArrayList<>();
    private List<String> addresses;

    /** A VM that sends so many chunks and then, unless it is done, never a word more. */
    private static final class VmStandin extends RouterGrpc.RouterImplBase {
        private final String name;
        private final int speaks;
        private final AtomicInteger unanswered = new AtomicInteger();
        private volatile boolean silent;
        private volatile LocateAnswer location = LocateAnswer.getDefaultInstance();

        VmStandin(String name, int speaks) {
            this.name = name;
            this.speaks = speaks;
        }

        @Override
        public void locate(LocateRequest request, StreamObserver<LocateAnswer> observer) {
            boolean late = unanswered.getAndDecrement() > 0;
            if (!silent && !late) {
                observer.onNext(location);
                observer.onCompleted();
            }
        }

        @Override
        public void generate(GenerateRequest request, StreamObserver<GenerateEvent> observer) {
            int end = Math.min(request.getMaxTokens(), request.getStartOffset() + speaks);
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
            silent = speaks < CHUNKS;
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
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Server server = NettyServerBuilder.forAddress(any).addService(vm).build().start();
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
     * The machine is busy: the first question to the only known VM is not answered in time. The
     * caller sees an answer all the same, a little later.
     */
    @Test
    void theOnlyKnownVmIsAskedAgain() throws Exception {
        sound.unanswered.set(1);
        assertThat(client(List.of(addresses.get(1))).locate("model", "root").getVmsCount())
                .isEqualTo(2);
    }

    @Test
    void aStreamGoesOnAtAnotherVmWhenItsVmFreezes() throws Exception {
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
    void anActionIsAskedForAtAnotherVmWhenItsVmFreezes() throws Exception {
        RunActionAnswer answer =
                client(addresses).act(RunActionRequest.getDefaultInstance(), sound.location);
        assertThat(answer.getVm()).isEqualTo("sound");
    }

    @Test
    void aVmThatNeverSaysAWordIsPassedOver() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String silent = "127.0.0.1:" + mute.getLocalPort();
            LocateAnswer answer = client(List.of(silent, addresses.get(1))).locate("model", "");
            assertThat(answer.getVmsCount()).isEqualTo(2);
        }
    }
}
