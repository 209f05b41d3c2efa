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
import org.bronzelug.daemon.action.ActionBook;
import org.bronzelug.daemon.action.ActionService;
import org.bronzelug.daemon.generate.GenerateService;
import org.bronzelug.daemon.generate.GenerationResult;
import org.bronzelug.daemon.generate.RejectionException;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The calls of callers. Each runs on a thread of its own; refusals are answers, not gRPC errors.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class RouterCalls extends RouterGrpc.RouterImplBase {
    private static final long LOCATION_VALID_MILLIS = 5_000;

    private final Settings settings;
    private final CallerKeys keys;
    private final VmChoice choice;
    private final ActionBook actions;
    private final GenerateService generations;
    private final ActionService actionService;
    private final DrainGate gate;
    private final ExecutorService traffic = Executors.newVirtualThreadPerTaskExecutor();

    @Inject
    public RouterCalls(
            Settings settings,
            CallerKeys keys,
            VmChoice choice,
            ActionBook actions,
            GenerateService generations,
            ActionService actionService,
            DrainGate gate) {
        this.settings = settings;
        this.keys = keys;
        this.choice = choice;
        this.actions = actions;
        this.generations = generations;
        this.actionService = actionService;
        this.gate = gate;
    }

    @Override
    public void locate(LocateRequest request, StreamObserver<LocateAnswer> observer) {
        try {
            String team = keys.teamOf(CallerKeys.PRESENT.get());
            PrefixChain root =
                    PrefixChain.of(team, request.getModel(), 0, List.of(request.getRootSegment()));
            LocateAnswer.Builder answer =
                    LocateAnswer.newBuilder()
                            .addAllVms(choice.order(root.root().hash().toString()))
                            .setValidForMs(LOCATION_VALID_MILLIS);
            if (!choice.isDraining()) {
                answer.setActionPrefix(actions.prefix()).setActionVm(choice.self());
            }
            observer.onNext(answer.build());
            observer.onCompleted();
        } catch (RejectionException refused) {
            observer.onError(Problems.toStatus(refused.problem()));
        }
    }

    @Override
    public void generate(GenerateRequest request, StreamObserver<GenerateEvent> observer) {
        KeyDigest key = CallerKeys.PRESENT.get();
        GrpcChunkSink sink = new GrpcChunkSink((ServerCallStreamObserver<GenerateEvent>) observer);
        if (!gate.enter()) {
            finish(observer, event(Problems.stopping()));
            return;
        }
        traffic.execute(
                () -> {
                    GenerateEvent last;
                    try {
                        last = generate(key, request, sink);
                    } finally {
                        gate.leave();
                    }
                    if (!sink.isCancelled()) {
                        finish(observer, last);
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
        } catch (RejectionException refused) {
            return event(refused.problem());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return event(Problems.stopping());
        } catch (RuntimeException unexpected) {
            EventLog.warn(LogEvent.INTERNAL_ERROR, "in a generation", unexpected);
            return event(Problems.internal());
        }
    }

    private static GenerateEvent event(Problem problem) {
        return GenerateEvent.newBuilder().setProblem(problem).build();
    }

    private static <T> void finish(StreamObserver<T> observer, T last) {
        observer.onNext(last);
        observer.onCompleted();
    }

    @Override
    public void runAction(RunActionRequest request, StreamObserver<RunActionAnswer> observer) {
        KeyDigest key = CallerKeys.PRESENT.get();
        if (!gate.enter()) {
            finish(observer, answer(Problems.stopping()));
            return;
        }
        traffic.execute(
                () -> {
                    try {
                        finish(observer, runAction(key, request));
                    } finally {
                        gate.leave();
                    }
                });
    }

    private RunActionAnswer runAction(KeyDigest key, RunActionRequest request) {
        try {
            return actionService.run(keys.teamOf(key), request);
        } catch (RejectionException refused) {
            return answer(refused.problem());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return answer(Problems.internal());
        } catch (RuntimeException unexpected) {
            EventLog.warn(LogEvent.INTERNAL_ERROR, "in an action", unexpected);
            return answer(Problems.internal());
        }
    }

    private RunActionAnswer answer(Problem problem) {
        return RunActionAnswer.newBuilder()
                .setExecution(problem.getExecution())
                .setProblem(problem)
                .setVm(settings.vm())
                .build();
    }

    @Override
    public void cancel(CancelRequest request, StreamObserver<CancelAnswer> observer) {
        try {
            String team = keys.teamOf(CallerKeys.PRESENT.get());
            boolean found = generations.cancel(team, request.getRequestId());
            finish(observer, CancelAnswer.newBuilder().setFound(found).build());
        } catch (RejectionException refused) {
            observer.onError(Problems.toStatus(refused.problem()));
        }
    }
}
