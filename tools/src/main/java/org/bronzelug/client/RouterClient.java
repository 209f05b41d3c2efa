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
 * A client for callers, which fails over between VMs.
 *
 * <p>Invariants: the offsets of the chunks passed to the consumer have no gap, even if a VM fails
 * or stops responding during the stream; an action is retried only with the same id.
 *
 * <p>Thread-safe. Each generation is confined to the thread that calls {@link #generate}.
 */
public final class RouterClient {
    private static final int ROUNDS = 3;
    private static final long RETRY_PAUSE_MILLIS = 100;
    private static final long SHORT_CALL_TIMEOUT_MILLIS = 1_500;
    private static final Metadata.Key<Problem> PROBLEM_TRAILER =
            ProtoUtils.keyForProto(Problem.getDefaultInstance());
    private static final Set<String> FAILOVER_CODES = Set.of("STOPPING", "NOT_FRESH");

    private final Channels channels;
    private final Credential key;
    private final List<String> knownVms;

    /**
     * @param knownVms the addresses of some VMs, which are asked in order for the VM to use
     */
    public RouterClient(Channels channels, Credential key, List<String> knownVms) {
        this.channels = channels;
        this.key = key;
        this.knownVms = List.copyOf(knownVms);
    }

    /**
     * Asks the known VMs which VM to use, for up to {@value #ROUNDS} rounds.
     *
     * <p>Without the further rounds, a client that knows only one VM would fail on a busy machine,
     * where opening the first connection of a process can take longer than the timeout of a call.
     */
    public LocateAnswer locate(String model, String rootSegment) throws ClientException {
        LocateRequest request =
                LocateRequest.newBuilder().setModel(model).setRootSegment(rootSegment).build();
        StatusRuntimeException lastFailure = null;
        for (int round = 0; round < ROUNDS; round++) {
            for (String vm : knownVms) {
                try {
                    return shortStub(vm).locate(request);
                } catch (StatusRuntimeException failed) {
                    lastFailure = failed;
                    Optional<Problem> problem = problemOf(failed);
                    boolean isFinal =
                            problem.isPresent()
                                    && !FAILOVER_CODES.contains(problem.get().getCode());
                    if (isFinal) {
                        throw new ClientException(problem.get());
                    }
                }
            }
        }
        throw new ClientException(
                "none of the VMs " + knownVms + " answered: " + describe(lastFailure),
                Execution.NOT_RUN);
    }

    private static Optional<Problem> problemOf(StatusRuntimeException failed) {
        return Optional.ofNullable(failed.getTrailers())
                .map(trailers -> trailers.get(PROBLEM_TRAILER));
    }

    private static String describe(StatusRuntimeException failed) {
        return failed == null ? "no VM address was given" : failed.getStatus().toString();
    }

    private RouterGrpc.RouterBlockingStub stub(String address) {
        return RouterGrpc.newBlockingStub(channels.to(address)).withCallCredentials(key);
    }

    /** Returns a stub for calls that a VM handles locally, with a short deadline. */
    private RouterGrpc.RouterBlockingStub shortStub(String address) {
        return stub(address).withDeadlineAfter(SHORT_CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a generation and passes each chunk to the consumer as it arrives. If the VM fails,
     * resumes the stream on another VM after the last chunk received.
     *
     * @throws ClientException if the system rejects the request or the generation fails on all VMs
     */
    public Finished generate(GenerateRequest request, Consumer<Chunk> chunks)
            throws ClientException {
        LocateAnswer location = locate(request.getModel(), request.getSegments(0));
        GenerateRequest next = request;
        Problem lastProblem = Problem.getDefaultInstance();
        for (int round = 0; round < ROUNDS; round++) {
            for (String address : addresses(location)) {
                StreamAttempt attempt = new StreamAttempt(next, chunks);
                Outcome outcome = attempt.run(stub(address));
                if (outcome.finished != null) {
                    return outcome.finished;
                }
                next = attempt.remainingRequest();
                lastProblem = outcome.problem;
                if (!FAILOVER_CODES.contains(lastProblem.getCode())) {
                    throw new ClientException(lastProblem);
                }
            }
            pauseBeforeRetry();
        }
        throw new ClientException(lastProblem);
    }

    /** The outcome of one attempt; exactly one field is not null. */
    private record Outcome(Finished finished, Problem problem) {}

    /** One attempt of a generation, on one VM. */
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
                return vmLost(broken.getStatus().toString());
            }
        }

        private Outcome readAll(Iterator<GenerateEvent> events, WatchedCall call) {
            while (events.hasNext()) {
                GenerateEvent event = events.next();
                call.recordEvent();
                switch (event.getEventCase()) {
                    case CHUNK -> acceptChunk(event.getChunk());
                    case FINISHED -> {
                        return new Outcome(event.getFinished(), null);
                    }
                    default -> {
                        return new Outcome(null, event.getProblem());
                    }
                }
            }
            return vmLost("the stream ended early");
        }

        private static Outcome vmLost(String reason) {
            Problem problem = Problem.newBuilder().setCode("STOPPING").setMessage(reason).build();
            return new Outcome(null, problem);
        }

        private void acceptChunk(Chunk chunk) {
            if (chunk.getOffset() == nextOffset) {
                nextOffset++;
                text.append(chunk.getText());
                chunks.accept(chunk);
            }
        }

        private GenerateRequest remainingRequest() {
            return request.toBuilder()
                    .setStartOffset(nextOffset)
                    .setTextSoFar(text.toString())
                    .build();
        }
    }

    /**
     * Runs an action. If the response is lost, retries with the same action id on each VM in turn.
     *
     * @throws ClientException if no VM responded; the action is then in doubt
     */
    public RunActionAnswer runAction(RunActionRequest request, LocateAnswer location)
            throws ClientException {
        String lastFailure = "";
        for (int round = 0; round < ROUNDS; round++) {
            for (String address : actionAddresses(location)) {
                try {
                    RouterGrpc.RouterBlockingStub stub = stub(address);
                    RunActionAnswer answer =
                            new WatchedCall(stub).run(() -> stub.runAction(request));
                    boolean isFinal = !FAILOVER_CODES.contains(answer.getProblem().getCode());
                    if (isFinal) {
                        return answer;
                    }
                    lastFailure = answer.getProblem().getMessage();
                } catch (StatusRuntimeException broken) {
                    lastFailure = broken.getStatus().toString();
                }
            }
            pauseBeforeRetry();
        }
        throw new ClientException("no VM answered: " + lastFailure, Execution.IN_DOUBT);
    }

    /**
     * Cancels a generation, whichever VM runs it.
     *
     * @return whether a VM had the generation in progress
     */
    public boolean cancel(String requestId) {
        boolean found = false;
        for (String vm : knownVms) {
            try {
                CancelRequest request = CancelRequest.newBuilder().setRequestId(requestId).build();
                CancelAnswer answer = shortStub(vm).cancel(request);
                found |= answer.getFound();
            } catch (StatusRuntimeException unreachable) {
                // Another VM may run the generation.
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

    private static void pauseBeforeRetry() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
