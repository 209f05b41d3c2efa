package org.bronzelug.client;

import io.grpc.Metadata;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.ProtoUtils;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.api.CancelAnswer;
import org.bronzelug.api.CancelRequest;
import org.bronzelug.api.Chunk;
import org.bronzelug.api.Execution;
import org.bronzelug.api.Finished;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.api.LocateRequest;
import org.bronzelug.api.Problem;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.api.VmAddress;

/**
 * A caller's client.
 *
 * <p>Invariants: the chunks given on are numbered without a gap also when a VM is lost, or falls
 * silent, in between; an action is retried only under the same id. Thread-safe but for one
 * generation, which belongs to one thread.
 */
public final class RouterClient {
    private static final int ROUNDS = 3;
    private static final long PAUSE_MILLIS = 100;
    private static final long SHORT_CALL_MILLIS = 1_500;
    private static final Metadata.Key<Problem> PROBLEM_TRAILER =
            ProtoUtils.keyForProto(Problem.getDefaultInstance());
    private static final Set<String> TRY_ANOTHER_VM = Set.of("STOPPING", "NOT_FRESH");

    private final Channels channels;
    private final Credential key;
    private final List<String> knownVms;

    /**
     * @param knownVms addresses of some VMs, to ask which one to use
     */
    public RouterClient(Channels channels, Credential key, List<String> knownVms) {
        this.channels = channels;
        this.key = key;
        this.knownVms = List.copyOf(knownVms);
    }

    /**
     * Asks the system which VM to use, each known VM a few times.
     *
     * <p>The failure this answers: on a busy machine the first connection of a process takes as
     * long as a call may, and the only VM that is known counts as silent.
     */
    public LocateAnswer locate(String model, String rootSegment) throws ClientException {
        LocateRequest request =
                LocateRequest.newBuilder().setModel(model).setRootSegment(rootSegment).build();
        StatusRuntimeException last = null;
        for (int round = 0; round < ROUNDS; round++) {
            for (String vm : knownVms) {
                try {
                    return shortStub(vm).locate(request);
                } catch (StatusRuntimeException failed) {
                    last = failed;
                    Optional<Problem> problem = problemOf(failed);
                    boolean isFinal =
                            problem.isPresent()
                                    && !TRY_ANOTHER_VM.contains(problem.get().getCode());
                    if (isFinal) {
                        throw new ClientException(problem.get());
                    }
                }
            }
        }
        throw new ClientException(
                "no VM of " + knownVms + " answered: " + describe(last), Execution.NOT_RUN);
    }

    private static Optional<Problem> problemOf(StatusRuntimeException failed) {
        return Optional.ofNullable(failed.getTrailers())
                .map(trailers -> trailers.get(PROBLEM_TRAILER));
    }

    private static String describe(StatusRuntimeException failed) {
        return failed == null ? "none was named" : failed.getStatus().toString();
    }

    private RouterGrpc.RouterBlockingStub stub(String address) {
        return RouterGrpc.newBlockingStub(channels.to(address)).withCallCredentials(key);
    }

    /** For calls that a VM answers by itself: one that takes longer has fallen silent. */
    private RouterGrpc.RouterBlockingStub shortStub(String address) {
        return stub(address).withDeadlineAfter(SHORT_CALL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Generates, giving on each chunk as it comes, and goes on at another VM where one is lost.
     *
     * @throws ClientException with the system's final answer
     */
    public Finished generate(GenerateRequest request, Consumer<Chunk> chunks)
            throws ClientException {
        LocateAnswer location = locate(request.getModel(), request.getSegments(0));
        GenerateRequest next = request;
        Problem last = Problem.getDefaultInstance();
        for (int round = 0; round < ROUNDS; round++) {
            for (String address : addresses(location)) {
                StreamAttempt attempt = new StreamAttempt(next, chunks);
                Outcome outcome = attempt.run(stub(address));
                if (outcome.finished != null) {
                    return outcome.finished;
                }
                next = attempt.rest();
                last = outcome.problem;
                if (!TRY_ANOTHER_VM.contains(last.getCode())) {
                    throw new ClientException(last);
                }
            }
            pause();
        }
        throw new ClientException(last);
    }

    /** How one attempt ended: exactly one field is set. */
    private record Outcome(Finished finished, Problem problem) {}

    /** A generation at one VM. */
    private static final class StreamAttempt {
        private final GenerateRequest request;
        private final Consumer<Chunk> chunks;
        private final StringBuilder text;
        private int nextOffset;

        private StreamAttempt(GenerateRequest request, Consumer<Chunk> chunks) {
            this.request = request;
            this.chunks = chunks;
            this.text = new StringBuilder(request.getTextSoFar());
            this.nextOffset = request.getStartOffset();
        }

        private Outcome run(RouterGrpc.RouterBlockingStub stub) {
            WatchedCall call = new WatchedCall(stub);
            try {
                return call.run(() -> readAll(stub.generate(request), call));
            } catch (StatusRuntimeException broken) {
                return lost(broken.getStatus().toString());
            }
        }

        private Outcome readAll(Iterator<GenerateEvent> events, WatchedCall call) {
            while (events.hasNext()) {
                GenerateEvent event = events.next();
                call.heard();
                switch (event.getEventCase()) {
                    case CHUNK -> take(event.getChunk());
                    case FINISHED -> {
                        return new Outcome(event.getFinished(), null);
                    }
                    default -> {
                        return new Outcome(null, event.getProblem());
                    }
                }
            }
            return lost("the stream ended early");
        }

        private static Outcome lost(String reason) {
            Problem problem = Problem.newBuilder().setCode("STOPPING").setMessage(reason).build();
            return new Outcome(null, problem);
        }

        private void take(Chunk chunk) {
            if (chunk.getOffset() == nextOffset) {
                nextOffset++;
                text.append(chunk.getText());
                chunks.accept(chunk);
            }
        }

        private GenerateRequest rest() {
            return request.toBuilder()
                    .setStartOffset(nextOffset)
                    .setTextSoFar(text.toString())
                    .build();
        }
    }

    /**
     * Runs a call; a lost answer is asked for again under the same id, through every VM.
     *
     * @throws ClientException where no VM gave an answer: the call is in doubt
     */
    public RunActionAnswer act(RunActionRequest request, LocateAnswer location)
            throws ClientException {
        String lastFailure = "";
        for (int round = 0; round < ROUNDS; round++) {
            for (String address : actionAddresses(location)) {
                try {
                    RouterGrpc.RouterBlockingStub stub = stub(address);
                    RunActionAnswer answer =
                            new WatchedCall(stub).run(() -> stub.runAction(request));
                    boolean isFinal = !TRY_ANOTHER_VM.contains(answer.getProblem().getCode());
                    if (isFinal) {
                        return answer;
                    }
                    lastFailure = answer.getProblem().getMessage();
                } catch (StatusRuntimeException broken) {
                    lastFailure = broken.getStatus().toString();
                }
            }
            pause();
        }
        throw new ClientException("no VM answered: " + lastFailure, Execution.IN_DOUBT);
    }

    /** Cancels a generation, wherever it runs. */
    public boolean cancel(String requestId) {
        boolean found = false;
        for (String vm : knownVms) {
            try {
                CancelRequest request = CancelRequest.newBuilder().setRequestId(requestId).build();
                CancelAnswer answer = shortStub(vm).cancel(request);
                found |= answer.getFound();
            } catch (StatusRuntimeException unreachable) {
                // Another VM may run it.
                continue;
            }
        }
        return found;
    }

    private List<String> addresses(LocateAnswer location) {
        Set<String> addresses = new LinkedHashSet<>();
        location.getVmsList().stream().map(VmAddress::getAddress).forEach(addresses::add);
        addresses.addAll(knownVms);
        return new ArrayList<>(addresses);
    }

    private List<String> actionAddresses(LocateAnswer location) {
        Set<String> addresses = new LinkedHashSet<>();
        if (!location.getActionVm().getAddress().isEmpty()) {
            addresses.add(location.getActionVm().getAddress());
        }
        addresses.addAll(addresses(location));
        return new ArrayList<>(addresses);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
