package org.bronzelug.daemon.action;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.Execution;
import org.bronzelug.api.PoolObject;
import org.bronzelug.api.Problem;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.ForwardAction;
import org.bronzelug.core.action.ActionDecision;
import org.bronzelug.core.action.ActionId;
import org.bronzelug.core.action.ActionOutcome;
import org.bronzelug.core.drain.DrainGate;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.generate.RejectionException;
import org.bronzelug.daemon.monitor.DaemonMetrics;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.runner.Endpoint;
import org.bronzelug.daemon.runner.EndpointDirectory;
import org.bronzelug.daemon.runner.RunnerClient;
import org.bronzelug.daemon.runner.RunnerException;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Runs calls of application runners.
 *
 * <p>A non-idempotent call runs only here if its id names this VM, else it is forwarded to its
 * home. Blocking; called on traffic threads. Thread-safe.
 */
@Singleton
public final class ActionService {
    private static final int IDEMPOTENT_ATTEMPTS = 4;
    private static final long LOOK_AGAIN_MILLIS = 1_000;
    private static final long ANSWER_MARGIN_MILLIS = 50;

    private final Settings settings;
    private final ControlState state;
    private final ActionBook book;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final PeerNetwork peers;
    private final DrainGate gate;
    private final DaemonMetrics measures;
    private final ExecutorService traffic = Executors.newVirtualThreadPerTaskExecutor();

    @Inject
    public ActionService(
            Settings settings,
            ControlState state,
            ActionBook book,
            EndpointDirectory directory,
            RunnerClient client,
            PeerNetwork peers,
            DrainGate gate,
            DaemonMetrics measures) {
        this.settings = settings;
        this.state = state;
        this.book = book;
        this.directory = directory;
        this.client = client;
        this.peers = peers;
        this.gate = gate;
        this.measures = measures;
        peers.handle(Envelope.BodyCase.FORWARD_ACTION, this::answerForward);
    }

    /** Runs a call of a team whose key was checked. */
    public RunActionAnswer run(String team, RunActionRequest request)
            throws RejectionException, InterruptedException {
        PoolObject pool = pool(request.getPool());
        if (request.getIdempotent()) {
            return runIdempotent(pool, request);
        }
        ActionId id =
                ActionId.parse(request.getActionId())
                        .orElseThrow(
                                () ->
                                        RejectionException.notRun(
                                                ProblemCode.BAD_REQUEST,
                                                "met action_id \""
                                                        + request.getActionId()
                                                        + "\", expected an action_prefix and a"
                                                        + " suffix",
                                                "ask with Locate for a prefix",
                                                0));
        RunActionAnswer answer = runOnce(team, id, pool, request);
        if (answer.getExecution() == Execution.IN_DOUBT) {
            measures.inDoubt(team);
        }
        return answer;
    }

    private PoolObject pool(String name) throws RejectionException {
        Optional<PoolObject> pool = state.view().catalog().pool(name);
        if (pool.isEmpty()) {
            throw RejectionException.notRun(
                    ProblemCode.UNKNOWN_POOL,
                    "no pool \"" + name + "\"",
                    "name a pool that `bronzelug status` shows",
                    0);
        }
        return pool.get();
    }

    private RunActionAnswer runOnce(
            String team, ActionId id, PoolObject pool, RunActionRequest request)
            throws InterruptedException {
        return switch (book.begin(id, team, digest(request))) {
            case ActionDecision.Run run -> execute(id, pool, request);
            case ActionDecision.Await await -> await(id, request);
            case ActionDecision.Repeat repeat -> ran(repeat.answer(), true);
            case ActionDecision.StayInDoubt doubt -> inDoubt(doubt.reason(), 0);
            case ActionDecision.RejectNotRun refused -> notRun(refused.reason());
            case ActionDecision.RejectMismatch mismatch -> mismatch();
            case ActionDecision.ForwardToOwner forward -> forward(team, id, request);
        };
    }

    private RunActionAnswer execute(ActionId id, PoolObject pool, RunActionRequest request) {
        ActionOutcome outcome = new ActionOutcome.InDoubt("the daemon failed while it ran");
        String runner = "";
        try {
            Run run = callEndpoints(id, pool, request);
            outcome = run.outcome;
            runner = run.runner;
        } finally {
            book.finish(id, outcome);
        }
        if (outcome instanceof ActionOutcome.InDoubt doubt) {
            EventLog.warn(LogEvent.ACTION_IN_DOUBT, "action " + id + ", " + doubt.reason());
        }
        return toAnswer(outcome, false).toBuilder().setRunner(runner).build();
    }

    /** An outcome, and the endpoint it came from. */
    private record Run(ActionOutcome outcome, String runner) {}

    /**
     * Calls one endpoint after another, but goes on to the next only while the call certainly had
     * no effect; or, where the pool's endpoints refuse a second run of an id by themselves, asks
     * the same endpoint again.
     */
    private Run callEndpoints(ActionId id, PoolObject pool, RunActionRequest request) {
        long end = deadline(request);
        String reason = "no usable endpoint";
        for (Endpoint endpoint : byLoad(pool.getPool())) {
            int tries = pool.getDeduplicates() ? IDEMPOTENT_ATTEMPTS : 1;
            for (int attempt = 1; attempt <= tries; attempt++) {
                try {
                    byte[] answer = call(endpoint, Optional.of(id.toString()), request, end);
                    return new Run(new ActionOutcome.Ran(answer), endpoint.name());
                } catch (RunnerException failed) {
                    reason = String.valueOf(failed.getMessage());
                    boolean firstCall = attempt == 1;
                    if (failed.isNotRun() && firstCall) {
                        break;
                    }
                    if (attempt == tries || System.nanoTime() > end) {
                        return new Run(new ActionOutcome.InDoubt(reason), endpoint.name());
                    }
                }
            }
        }
        return new Run(new ActionOutcome.NotRun(reason), "");
    }

    private RunActionAnswer runIdempotent(PoolObject pool, RunActionRequest request)
            throws RejectionException {
        long end = deadline(request);
        String reason = "no usable endpoint";
        for (int attempt = 0; attempt < IDEMPOTENT_ATTEMPTS; attempt++) {
            for (Endpoint endpoint : byLoad(pool.getPool())) {
                try {
                    byte[] answer = call(endpoint, Optional.empty(), request, end);
                    return ran(answer, false).toBuilder().setRunner(endpoint.name()).build();
                } catch (RunnerException failed) {
                    reason = String.valueOf(failed.getMessage());
                }
            }
        }
        throw RejectionException.notRun(
                ProblemCode.NO_ENDPOINT,
                "no endpoint of pool " + pool.getPool() + " answered: " + reason,
                "come back later",
                LOOK_AGAIN_MILLIS);
    }

    private byte[] call(
            Endpoint endpoint, Optional<String> id, RunActionRequest request, long endNanos)
            throws RunnerException {
        long left = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        endpoint.begin(0);
        try {
            return client.act(
                    endpoint,
                    request.getMethod(),
                    id,
                    request.getBody().toByteArray(),
                    Math.max(1, left));
        } finally {
            endpoint.end();
        }
    }

    private List<Endpoint> byLoad(String pool) {
        return directory.usable(pool).stream()
                .sorted(Comparator.comparingInt(Endpoint::inFlight))
                .toList();
    }

    private RunActionAnswer await(ActionId id, RunActionRequest request)
            throws InterruptedException {
        try {
            long left = deadline(request) - System.nanoTime();
            ActionOutcome outcome =
                    book.awaitOutcome(id).get(Math.max(1, left), TimeUnit.NANOSECONDS);
            return toAnswer(outcome, true);
        } catch (TimeoutException stillRunning) {
            return inDoubt("the call still runs", LOOK_AGAIN_MILLIS);
        } catch (ExecutionException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private RunActionAnswer forward(String team, ActionId id, RunActionRequest request) {
        Optional<String> address = state.view().addressOf(id.home());
        if (address.isEmpty()) {
            return inDoubt("the VM that alone may run this id is gone: " + id.home().vm(), 0);
        }
        ForwardAction forward =
                ForwardAction.newBuilder().setTeam(team).setRequest(request).build();
        long left = TimeUnit.NANOSECONDS.toMillis(deadline(request) - System.nanoTime());
        return peers.exchange(
                        address.get(),
                        Envelope.newBuilder().setForwardAction(forward),
                        left + ANSWER_MARGIN_MILLIS)
                .handle(
                        (envelope, failure) ->
                                failure == null
                                        ? envelope.getActionAnswer()
                                        : inDoubt(
                                                "the VM that alone may run this id does not answer",
                                                LOOK_AGAIN_MILLIS))
                .join();
    }

    private CompletableFuture<Envelope.Builder> answerForward(Envelope envelope) {
        ForwardAction forward = envelope.getForwardAction();
        return CompletableFuture.supplyAsync(() -> runForwarded(forward), traffic);
    }

    private Envelope.Builder runForwarded(ForwardAction forward) {
        RunActionRequest request = forward.getRequest();
        RunActionAnswer answer;
        // Counted like a caller's own request: a graceful stop must not hand the records over
        // while a forwarded call runs.
        if (!gate.enter()) {
            return Envelope.newBuilder()
                    .setActionAnswer(inDoubt("its VM is stopping", LOOK_AGAIN_MILLIS));
        }
        try {
            Optional<ActionId> id = ActionId.parse(request.getActionId());
            answer =
                    id.isPresent()
                            ? runOnce(forward.getTeam(), id.get(), pool(request.getPool()), request)
                            : notRun("the id is malformed");
        } catch (RejectionException refused) {
            answer =
                    RunActionAnswer.newBuilder()
                            .setExecution(refused.problem().getExecution())
                            .setProblem(refused.problem())
                            .build();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            answer = inDoubt("the VM that alone may run this id is stopping", LOOK_AGAIN_MILLIS);
        } finally {
            gate.leave();
        }
        return Envelope.newBuilder().setActionAnswer(answer);
    }

    private long deadline(RunActionRequest request) {
        long millis =
                request.getDeadlineMs() > 0
                        ? request.getDeadlineMs()
                        : settings.limits().requestDeadlineMillis();
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static String digest(RunActionRequest request) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            String head = request.getPool() + "\u0000" + request.getMethod() + "\u0000";
            sha256.update(head.getBytes(StandardCharsets.UTF_8));
            sha256.update(request.getBody().toByteArray());
            return HexFormat.of().formatHex(sha256.digest());
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    private RunActionAnswer toAnswer(ActionOutcome outcome, boolean repeated) {
        return ActionAnswers.of(outcome, repeated).setVm(settings.vm()).build();
    }

    private RunActionAnswer ran(byte[] answer, boolean repeated) {
        return RunActionAnswer.newBuilder()
                .setExecution(Execution.RAN)
                .setBody(ByteString.copyFrom(answer))
                .setVm(settings.vm())
                .setRepeated(repeated)
                .build();
    }

    private RunActionAnswer inDoubt(String reason, long retryAfterMillis) {
        return ActionAnswers.inDoubt(reason, retryAfterMillis).setVm(settings.vm()).build();
    }

    private RunActionAnswer notRun(String reason) {
        return ActionAnswers.notRun(reason).setVm(settings.vm()).build();
    }

    private RunActionAnswer mismatch() {
        Problem problem =
                Problem.newBuilder()
                        .setCode(ProblemCode.ACTION_MISMATCH.name())
                        .setMessage("this action_id came before with another team or body")
                        .setRemedy("use each action_id for one call only")
                        .setExecution(Execution.NOT_RUN)
                        .build();
        return RunActionAnswer.newBuilder()
                .setExecution(Execution.NOT_RUN)
                .setProblem(problem)
                .setVm(settings.vm())
                .build();
    }
}
