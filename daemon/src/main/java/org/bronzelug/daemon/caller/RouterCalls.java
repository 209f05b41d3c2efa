package org.bronzelug.daemon.caller;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.CancelAnswer;
import org.bronzelug.api.CancelRequest;
import org.bronzelug.api.Finished;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.api.LocateRequest;
import org.bronzelug.api.Problem;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.core.drain.DrainGate;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.daemon.action.ActionService;
import org.bronzelug.daemon.action.SharedActionLedger;
import org.bronzelug.daemon.generate.GenerateService;
import org.bronzelug.daemon.generate.GenerationResult;
import org.bronzelug.daemon.generate.RejectionException;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * gRPC service for callers. Each generation and each action runs on a virtual thread of its own;
 * their rejections are responses, not gRPC errors.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class RouterCalls extends RouterGrpc.RouterImplBase {
    private static final long LOCATION_VALID_MILLIS = 5_000;

    private final Settings settings;
    private final CallerKeys keys;
    private final VmChoice vmChoice;
    private final SharedActionLedger actionLedger;
    private final GenerateService generations;
    private final ActionService actionService;
    private final DrainGate drainGate;
    private final ExecutorService requestThreads = Executors.newVirtualThreadPerTaskExecutor();

    @Inject
    public RouterCalls(
            Settings settings,
            CallerKeys keys,
            VmChoice vmChoice,
            SharedActionLedger actionLedger,
            GenerateService generations,
            ActionService actionService,
            DrainGate drainGate) {
        this.settings = settings;
        this.keys = keys;
        this.vmChoice = vmChoice;
        this.actionLedger = actionLedger;
        this.generations = generations;
        this.actionService = actionService;
        this.drainGate = drainGate;
    }

    @Override
    public void locate(LocateRequest request, StreamObserver<LocateAnswer> observer) {
        try {
            String team = keys.teamOf(CallerKeys.KEY_DIGEST.get());
            PrefixChain root =
                    PrefixChain.of(team, request.getModel(), 0, List.of(request.getRootSegment()));
            LocateAnswer.Builder response =
                    LocateAnswer.newBuilder()
                            .addAllVms(vmChoice.preferenceOrder(root.root().hash().toString()))
                            .setValidForMs(LOCATION_VALID_MILLIS);
            if (!vmChoice.isDraining()) {
                response.setActionPrefix(actionLedger.prefix()).setActionVm(vmChoice.self());
            }
            observer.onNext(response.build());
            observer.onCompleted();
        } catch (RejectionException rejected) {
            observer.onError(Problems.toStatus(rejected.problem()));
        }
    }

    @Override
    public void generate(GenerateRequest request, StreamObserver<GenerateEvent> observer) {
        KeyDigest key = CallerKeys.KEY_DIGEST.get();
        GrpcChunkSink sink = new GrpcChunkSink((ServerCallStreamObserver<GenerateEvent>) observer);
        if (!drainGate.enter()) {
            finish(observer, problemEvent(Problems.stopping()));
            return;
        }
        requestThreads.execute(
                () -> {
                    GenerateEvent lastEvent;
                    try {
                        lastEvent = generate(key, request, sink);
                    } finally {
                        drainGate.leave();
                    }
                    if (!sink.isCancelled()) {
                        finish(observer, lastEvent);
                    }
                });
    }

    private GenerateEvent generate(KeyDigest key, GenerateRequest request, GrpcChunkSink sink) {
        try {
            GenerationResult result = generations.generate(key, request, sink);
            Finished finished =
                    Finished.newBuilder()
                            .setChunks(result.chunks())
                            .setPromptTokens(result.promptTokens())
                            .setCachedTokens(result.cachedTokens())
                            .setOutputTokens(result.chunks() - request.getStartOffset())
                            .setVm(settings.vm())
                            .setRunner(result.runner())
                            .setAttempts(result.attempts())
                            .build();
            return GenerateEvent.newBuilder().setFinished(finished).build();
        } catch (RejectionException rejected) {
            return problemEvent(rejected.problem());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return problemEvent(Problems.stopping());
        } catch (RuntimeException unexpected) {
            EventLog.warn(
                    LogEvent.INTERNAL_ERROR, "unexpected exception in a generation", unexpected);
            return problemEvent(Problems.internal());
        }
    }

    private static GenerateEvent problemEvent(Problem problem) {
        return GenerateEvent.newBuilder().setProblem(problem).build();
    }

    private static <T> void finish(StreamObserver<T> observer, T lastMessage) {
        observer.onNext(lastMessage);
        observer.onCompleted();
    }

    @Override
    public void runAction(RunActionRequest request, StreamObserver<RunActionAnswer> observer) {
        KeyDigest key = CallerKeys.KEY_DIGEST.get();
        if (!drainGate.enter()) {
            finish(observer, problemResponse(Problems.stopping()));
            return;
        }
        requestThreads.execute(
                () -> {
                    try {
                        finish(observer, runAction(key, request));
                    } finally {
                        drainGate.leave();
                    }
                });
    }

    private RunActionAnswer runAction(KeyDigest key, RunActionRequest request) {
        try {
            return actionService.run(keys.teamOf(key), request);
        } catch (RejectionException rejected) {
            return problemResponse(rejected.problem());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return problemResponse(Problems.internal());
        } catch (RuntimeException unexpected) {
            EventLog.warn(LogEvent.INTERNAL_ERROR, "unexpected exception in an action", unexpected);
            return problemResponse(Problems.internal());
        }
    }

    private RunActionAnswer problemResponse(Problem problem) {
        return RunActionAnswer.newBuilder()
                .setExecution(problem.getExecution())
                .setProblem(problem)
                .setVm(settings.vm())
                .build();
    }

    @Override
    public void cancel(CancelRequest request, StreamObserver<CancelAnswer> observer) {
        try {
            String team = keys.teamOf(CallerKeys.KEY_DIGEST.get());
            boolean found = generations.cancel(team, request.getRequestId());
            finish(observer, CancelAnswer.newBuilder().setFound(found).build());
        } catch (RejectionException rejected) {
            observer.onError(Problems.toStatus(rejected.problem()));
        }
    }
}
