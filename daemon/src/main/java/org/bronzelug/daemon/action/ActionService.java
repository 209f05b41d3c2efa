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
 * Runs calls to application runners.
 *
 * <p>A non-idempotent call runs here only if this VM owns its action id; otherwise it is forwarded
 * to the owner. Blocking; called on traffic threads. Thread-safe.
 */
@Singleton
public final class ActionService {
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long FORWARD_RESPONSE_MARGIN_MILLIS = 50;

    private final Settings settings;
    private final ControlState state;
    private final SharedActionLedger ledger;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final PeerNetwork peers;
    private final DrainGate gate;
    private final DaemonMetrics metrics;
    private final ExecutorService forwardedCallExecutor =
            Executors.newVirtualThreadPerTaskExecutor();

    @Inject
    public ActionService(
            Settings settings,
            ControlState state,
            SharedActionLedger ledger,
            EndpointDirectory directory,
            RunnerClient client,
            PeerNetwork peers,
            DrainGate gate,
            DaemonMetrics metrics) {
        this.settings = settings;
        this.state = state;
        this.ledger = ledger;
        this.directory = directory;
        this.client = client;
        this.peers = peers;
        this.gate = gate;
        this.metrics = metrics;
        peers.setHandler(Envelope.BodyCase.FORWARD_ACTION, this::handleForward);
    }

    /** Runs a call of an authenticated team. */
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
            metrics.countInDoubt(team);
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
        return switch (ledger.begin(id, team, digest(request))) {
            case ActionDecision.Run run -> execute(id, pool, request);
            case ActionDecision.Await await -> await(id, request);
            case ActionDecision.Replay replay -> ran(replay.response(), true);
            case ActionDecision.StayInDoubt inDoubt -> inDoubt(inDoubt.reason(), 0);
            case ActionDecision.RejectNotRun rejected -> notRun(rejected.reason());
            case ActionDecision.RejectMismatch mismatch -> mismatch();
            case ActionDecision.ForwardToOwner forward -> forward(team, id, request);
        };
    }

    private RunActionAnswer execute(ActionId id, PoolObject pool, RunActionRequest request) {
        ActionOutcome outcome = new ActionOutcome.InDoubt("the daemon failed while it ran");
        String runner = "";
        try {
            CallResult result = callEndpoints(id, pool, request);
            outcome = result.outcome;
            runner = result.runner;
        } finally {
            ledger.finish(id, outcome);
        }
        if (outcome instanceof ActionOutcome.InDoubt inDoubt) {
            EventLog.warn(LogEvent.ACTION_IN_DOUBT, "action " + id + ", " + inDoubt.reason());
        }
        return toAnswer(outcome, false).toBuilder().setRunner(runner).build();
    }

    /** The outcome of a call and the name of the endpoint that it ran at. */
    private record CallResult(ActionOutcome outcome, String runner) {}

    /**
     * Calls the endpoints one after another, the least loaded first. The next endpoint is called
     * only if the call certainly did not run. If a call may have run and the pool's endpoints
     * deduplicate action ids, the call is retried at the same endpoint.
     */
    private CallResult callEndpoints(ActionId id, PoolObject pool, RunActionRequest request) {
        long deadlineNanos = deadline(request);
        String reason = "no usable endpoint";
        for (Endpoint endpoint : endpointsByLoad(pool.getPool())) {
            int maximumAttempts = pool.getDeduplicates() ? MAXIMUM_ATTEMPTS : 1;
            for (int attempt = 1; attempt <= maximumAttempts; attempt++) {
                try {
                    byte[] response =
                            call(endpoint, Optional.of(id.toString()), request, deadlineNanos);
                    return new CallResult(new ActionOutcome.Ran(response), endpoint.name());
                } catch (RunnerException failed) {
                    reason = String.valueOf(failed.getMessage());
                    boolean firstCall = attempt == 1;
                    if (failed.isNotRun() && firstCall) {
                        break;
                    }
                    if (attempt == maximumAttempts || System.nanoTime() > deadlineNanos) {
                        return new CallResult(new ActionOutcome.InDoubt(reason), endpoint.name());
                    }
                }
            }
        }
        return new CallResult(new ActionOutcome.NotRun(reason), "");
    }

    private RunActionAnswer runIdempotent(PoolObject pool, RunActionRequest request)
            throws RejectionException {
        long deadlineNanos = deadline(request);
        String reason = "no usable endpoint";
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            for (Endpoint endpoint : endpointsByLoad(pool.getPool())) {
                try {
                    byte[] response = call(endpoint, Optional.empty(), request, deadlineNanos);
                    return ran(response, false).toBuilder().setRunner(endpoint.name()).build();
                } catch (RunnerException failed) {
                    reason = String.valueOf(failed.getMessage());
                }
            }
        }
        throw RejectionException.notRun(
                ProblemCode.NO_ENDPOINT,
                "no endpoint of pool " + pool.getPool() + " answered: " + reason,
                "come back later",
                RETRY_AFTER_MILLIS);
    }

    private byte[] call(
            Endpoint endpoint, Optional<String> id, RunActionRequest request, long deadlineNanos)
            throws RunnerException {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        endpoint.recordSent(0);
        try {
            return client.runAction(
                    endpoint,
                    request.getMethod(),
                    id,
                    request.getBody().toByteArray(),
                    Math.max(1, remainingMillis));
        } finally {
            endpoint.recordEnded();
        }
    }

    private List<Endpoint> endpointsByLoad(String pool) {
        return directory.usable(pool).stream()
                .sorted(Comparator.comparingInt(Endpoint::inFlight))
                .toList();
    }

    private RunActionAnswer await(ActionId id, RunActionRequest request)
            throws InterruptedException {
        try {
            long remainingNanos = deadline(request) - System.nanoTime();
            ActionOutcome outcome =
                    ledger.futureOutcome(id).get(Math.max(1, remainingNanos), TimeUnit.NANOSECONDS);
            return toAnswer(outcome, true);
        } catch (TimeoutException stillRunning) {
            return inDoubt("the call still runs", RETRY_AFTER_MILLIS);
        } catch (ExecutionException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private RunActionAnswer forward(String team, ActionId id, RunActionRequest request) {
        Optional<String> address = state.view().addressOf(id.owner());
        if (address.isEmpty()) {
            return inDoubt("the VM that alone may run this id is gone: " + id.owner().vm(), 0);
        }
        ForwardAction forward =
                ForwardAction.newBuilder().setTeam(team).setRequest(request).build();
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline(request) - System.nanoTime());
        return peers.exchange(
                        address.get(),
                        Envelope.newBuilder().setForwardAction(forward),
                        remainingMillis + FORWARD_RESPONSE_MARGIN_MILLIS)
                .handle(
                        (envelope, failure) ->
                                failure == null
                                        ? envelope.getActionAnswer()
                                        : inDoubt(
                                                "the VM that alone may run this id does not answer",
                                                RETRY_AFTER_MILLIS))
                .join();
    }

    private CompletableFuture<Envelope.Builder> handleForward(Envelope envelope) {
        ForwardAction forward = envelope.getForwardAction();
        return CompletableFuture.supplyAsync(() -> runForwarded(forward), forwardedCallExecutor);
    }

    private Envelope.Builder runForwarded(ForwardAction forward) {
        RunActionRequest request = forward.getRequest();
        RunActionAnswer answer;
        // Counts a forwarded call like a request of a caller: a graceful shutdown must not transfer
        // the action records to the successor while the call runs.
        if (!gate.enter()) {
            return Envelope.newBuilder()
                    .setActionAnswer(inDoubt("its VM is stopping", RETRY_AFTER_MILLIS));
        }
        try {
            Optional<ActionId> id = ActionId.parse(request.getActionId());
            answer =
                    id.isPresent()
                            ? runOnce(forward.getTeam(), id.get(), pool(request.getPool()), request)
                            : notRun("the id is malformed");
        } catch (RejectionException rejection) {
            answer =
                    RunActionAnswer.newBuilder()
                            .setExecution(rejection.problem().getExecution())
                            .setProblem(rejection.problem())
                            .build();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            answer = inDoubt("the VM that alone may run this id is stopping", RETRY_AFTER_MILLIS);
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
            String prefix = request.getPool() + "\u0000" + request.getMethod() + "\u0000";
            sha256.update(prefix.getBytes(StandardCharsets.UTF_8));
            sha256.update(request.getBody().toByteArray());
            return HexFormat.of().formatHex(sha256.digest());
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("the Java runtime has no SHA-256", missing);
        }
    }

    private RunActionAnswer toAnswer(ActionOutcome outcome, boolean repeated) {
        return ActionAnswers.of(outcome, repeated).setVm(settings.vm()).build();
    }

    private RunActionAnswer ran(byte[] response, boolean repeated) {
        return RunActionAnswer.newBuilder()
                .setExecution(Execution.RAN)
                .setBody(ByteString.copyFrom(response))
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
