package org.bronzelug.daemon.generate;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.Execution;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.PoolObject;
import org.bronzelug.api.Problem;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.core.limit.Admission;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.stream.StreamGapException;
import org.bronzelug.core.stream.StreamProgress;
import org.bronzelug.daemon.caller.CallerKeys;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.limit.RateGate;
import org.bronzelug.daemon.monitor.DaemonMetrics;
import org.bronzelug.daemon.runner.CompletionListener;
import org.bronzelug.daemon.runner.CompletionRequest;
import org.bronzelug.daemon.runner.EndpointDirectory;
import org.bronzelug.daemon.runner.EndpointReport;
import org.bronzelug.daemon.runner.RunnerClient;
import org.bronzelug.daemon.runner.RunnerException;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Serves generations: admits, queues, places, streams, and moves a stream whose runner fails.
 *
 * <p>Blocking; each generation runs on its caller's thread. Thread-safe.
 */
@Singleton
public final class GenerateService {
    private static final int MAXIMUM_ATTEMPTS = 6;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long FAILED_PAUSE_MILLIS = 20;

    private final Settings settings;
    private final ControlState state;
    private final CallerKeys keys;
    private final RateGate rates;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final DaemonMetrics measures;
    private final PlacementPolicy policy = new PlacementPolicy(PlacementSettings.defaults());
    private final Map<String, ModelQueue> queues = new ConcurrentHashMap<>();
    private final Map<String, Generation> running = new ConcurrentHashMap<>();

    @Inject
    public GenerateService(
            Settings settings,
            ControlState state,
            CallerKeys keys,
            RateGate rates,
            EndpointDirectory directory,
            RunnerClient client,
            DaemonMetrics measures) {
        this.settings = settings;
        this.state = state;
        this.keys = keys;
        this.rates = rates;
        this.directory = directory;
        this.client = client;
        this.measures = measures;
        directory.onReplaced(endpoint -> queues.values().forEach(queue -> queue.forget(endpoint)));
        directory.onChanged(() -> queues.values().forEach(ModelQueue::pump));
    }

    /** Serves one generation to its end. */
    public GenerationResult generate(KeyDigest key, GenerateRequest request, ChunkSink sink)
            throws RejectionException, InterruptedException {
        String team = keys.teamOf(key);
        check(request);
        PoolObject pool = pool(request.getModel());
        Generation generation = prepare(team, pool, request, sink);
        String reservation = reserve(generation, request);
        String id = team + "/" + request.getRequestId();
        running.put(id, generation);
        try {
            return run(key, generation, pool, request);
        } finally {
            running.remove(id, generation);
            settle(reservation, generation, request);
        }
    }

    private static void check(GenerateRequest request) throws RejectionException {
        boolean valid =
                !request.getRequestId().isEmpty()
                        && request.getSegmentsCount() > 0
                        && request.getMaxTokens() > 0
                        && request.getStartOffset() >= 0
                        && request.getStartOffset() <= request.getMaxTokens();
        if (!valid) {
            throw RejectionException.notRun(
                    ProblemCode.BAD_REQUEST,
                    "expected a request_id, a segment or more, max_tokens above 0 and a"
                            + " start_offset from 0 to max_tokens",
                    "mend the request",
                    0);
        }
    }

    private PoolObject pool(String model) throws RejectionException {
        Optional<PoolObject> pool = state.view().catalog().poolOfModel(model);
        if (pool.isEmpty()) {
            throw RejectionException.notRun(
                    ProblemCode.UNKNOWN_POOL,
                    "no pool serves the model \"" + model + "\"",
                    "name a model that `bronzelug status` shows",
                    0);
        }
        return pool.get();
    }

    private Generation prepare(
            String team, PoolObject pool, GenerateRequest request, ChunkSink sink) {
        PrefixChain chain =
                PrefixChain.of(
                        team,
                        request.getModel(),
                        pool.getWeightsVersion(),
                        request.getSegmentsList());
        long deadlineMillis =
                request.getDeadlineMs() > 0
                        ? request.getDeadlineMs()
                        : settings.limits().requestDeadlineMillis();
        return new Generation(
                team,
                request.getRequestId(),
                request.getModel(),
                chain,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
                new StreamProgress(request.getStartOffset(), request.getTextSoFar()),
                sink);
    }

    private String reserve(Generation generation, GenerateRequest request)
            throws RejectionException {
        String id = UUID.randomUUID().toString();
        double tokens =
                generation.chain().tokens() + request.getMaxTokens() - request.getStartOffset();
        Admission admission =
                rates.reserve(id, generation.team(), tokens, generation.deadlineNanos());
        switch (admission) {
            case Admission.Granted granted -> measures.admitted(generation.team());
            case Admission.OverRate over -> {
                measures.overRate(generation.team());
                throw overRate(over.retryAfterNanos());
            }
            case Admission.NotHeld notHeld -> {
                measures.rateUnavailable(generation.team());
                throw RejectionException.notRun(
                        ProblemCode.RATE_UNAVAILABLE,
                        "the VM that holds the team's rate is being replaced",
                        "come back after the time given",
                        TimeUnit.NANOSECONDS.toMillis(notHeld.retryAfterNanos()));
            }
        }
        return id;
    }

    private static RejectionException overRate(long retryAfterNanos) {
        if (retryAfterNanos < 0) {
            return RejectionException.notRun(
                    ProblemCode.EXCEEDS_BURST,
                    "prompt and max_tokens exceed the team's burst",
                    "lower max_tokens, or have the operators raise the burst",
                    0);
        }
        return RejectionException.notRun(
                ProblemCode.OVER_RATE,
                "the team is beyond its rate",
                "come back after the time given",
                TimeUnit.NANOSECONDS.toMillis(retryAfterNanos) + 1);
    }

    private void settle(String reservation, Generation generation, GenerateRequest request) {
        int produced = generation.progress().nextOffset() - request.getStartOffset();
        boolean started = generation.progress().attempts() > 0;
        double used = started ? generation.chain().tokens() + produced : 0;
        rates.settle(reservation, generation.team(), used);
    }

    private GenerationResult run(
            KeyDigest key, Generation generation, PoolObject pool, GenerateRequest request)
            throws RejectionException, InterruptedException {
        ModelQueue queue = queue(pool.getPool());
        Set<String> avoided = new HashSet<>();
        long arrived = System.nanoTime();
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            ModelQueue.Slot slot =
                    queue.acquire(
                            generation.team(),
                            generation.chain(),
                            avoided,
                            generation.deadlineNanos(),
                            generation.cancelled());
            // The key may have been withdrawn, or this VM cut off, while the request waited.
            try {
                keys.teamOf(key);
                Attempt run = new Attempt(generation, queue, slot, arrived);
                Optional<GenerationResult> result = run.execute(request);
                if (result.isPresent()) {
                    return result.get();
                }
            } finally {
                slot.endpoint().end();
                queue.release(slot.endpoint());
            }
            avoided.add(slot.endpoint().name());
            refuseIfOver(generation);
            TimeUnit.MILLISECONDS.sleep(FAILED_PAUSE_MILLIS);
        }
        throw failed(generation, "all attempts failed", ProblemCode.ENDPOINTS_FAILED);
    }

    private void refuseIfOver(Generation generation) throws RejectionException {
        if (generation.isCancelled()) {
            throw failed(generation, "the caller cancelled", ProblemCode.CANCELLED);
        }
        boolean begun = generation.progress().textSoFar().isPresent();
        if (!begun && System.nanoTime() > generation.deadlineNanos()) {
            throw failed(generation, "no chunk before the deadline", ProblemCode.DEADLINE);
        }
    }

    private static RejectionException failed(
            Generation generation, String message, ProblemCode code) {
        return new RejectionException(
                Problem.newBuilder()
                        .setCode(code.name())
                        .setMessage(
                                message
                                        + "; "
                                        + generation.progress().nextOffset()
                                        + " chunks were generated")
                        .setRemedy("ask again with start_offset at the chunks received")
                        .setExecution(Execution.FAILED)
                        .setRetryAfterMs(RETRY_AFTER_MILLIS)
                        .build());
    }

    private ModelQueue queue(String pool) {
        return queues.computeIfAbsent(
                pool,
                ignored ->
                        new ModelQueue(
                                pool,
                                settings.limits().streamsPerRunner(),
                                settings.limits().waitingRequests(),
                                () -> directory.usable(pool),
                                policy));
    }

    /** Cancels a generation of a team, if it runs here. */
    public boolean cancel(String team, String requestId) {
        Generation generation = running.get(team + "/" + requestId);
        if (generation == null) {
            return false;
        }
        generation.cancel();
        return true;
    }

    /** The requests in progress. */
    public int running() {
        return running.size();
    }

    /** One attempt on one runner. Used by one thread. */
    private final class Attempt implements CompletionListener {
        private final Generation generation;
        private final ModelQueue queue;
        private final ModelQueue.Slot slot;
        private final long arrivedNanos;
        private final int queuedTokens;

        /**
         * What the runner knows this attempt by. Not the caller's id: the caller may go on at
         * another VM with the same id, and a cancel sent for the broken attempt would end that one.
         */
        private final String runnerRequestId;

        private StreamProgress.Attempt attempt;
        private boolean prefilled;
        private boolean ended;
        private int cachedTokens;

        private Attempt(
                Generation generation, ModelQueue queue, ModelQueue.Slot slot, long arrivedNanos) {
            this.generation = generation;
            this.queue = queue;
            this.slot = slot;
            this.arrivedNanos = arrivedNanos;
            this.runnerRequestId = generation.requestId() + "." + UUID.randomUUID();
            this.queuedTokens = ModelQueue.missingTokens(generation.chain(), slot.placement());
        }

        /** The result; empty where the stream must go on with another attempt. */
        private Optional<GenerationResult> execute(GenerateRequest request) {
            attempt = generation.progress().startAttempt();
            try {
                client.complete(slot.endpoint(), toCompletion(request), this);
            } catch (RunnerException | StreamGapException failed) {
                EventLog.warn(
                        LogEvent.STREAM_MOVED,
                        "request " + generation.requestId() + ", reason: " + failed.getMessage());
            } finally {
                notePrefilled();
            }
            if (generation.isCancelled()) {
                client.cancel(slot.endpoint(), runnerRequestId);
                return Optional.empty();
            }
            return ended ? Optional.of(result()) : Optional.empty();
        }

        private CompletionRequest toCompletion(GenerateRequest request) {
            return new CompletionRequest(
                    runnerRequestId,
                    slot.placement().incarnation(),
                    generation.chain().salt(),
                    List.copyOf(request.getSegmentsList()),
                    request.getMaxTokens(),
                    attempt.startOffset(),
                    attempt.textSoFar(),
                    request.getPriority());
        }

        @Override
        public boolean chunk(int offset, String text) throws StreamGapException {
            notePrefilled();
            if (generation.isCancelled()) {
                return false;
            }
            boolean first = generation.progress().textSoFar().isEmpty();
            if (generation.progress().accept(attempt.number(), offset, text)) {
                if (first) {
                    measures.firstToken(generation.team(), System.nanoTime() - arrivedNanos);
                }
                return generation.sink().send(offset, text);
            }
            return true;
        }

        @Override
        public void end(int foundTokens, EndpointReport report) {
            notePrefilled();
            ended = generation.progress().finish(attempt.number());
            cachedTokens = foundTokens;
            queue.learn(slot, generation.chain(), foundTokens);
            directory.report(slot.endpoint(), report);
            measures.prefilled(generation.chain().tokens(), foundTokens, attempt.number() > 1);
        }

        private void notePrefilled() {
            if (!prefilled) {
                prefilled = true;
                slot.endpoint().prefilled(queuedTokens);
            }
        }

        private GenerationResult result() {
            return new GenerationResult(
                    generation.progress().nextOffset(),
                    generation.chain().tokens(),
                    cachedTokens,
                    slot.endpoint().name(),
                    generation.progress().attempts());
        }
    }
}
