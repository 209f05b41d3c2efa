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
 * Serves generations: admits them, queues them, places them on runners, streams their chunks, and
 * moves a stream to another runner if its runner fails.
 *
 * <p>Blocking; each generation runs on the thread that calls {@link #generate}. Thread-safe.
 */
@Singleton
public final class GenerateService {
    private static final int MAXIMUM_ATTEMPTS = 6;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 20;

    private final Settings settings;
    private final ControlState state;
    private final CallerKeys keys;
    private final RateGate rates;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final DaemonMetrics metrics;
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
            DaemonMetrics metrics) {
        this.settings = settings;
        this.state = state;
        this.keys = keys;
        this.rates = rates;
        this.directory = directory;
        this.client = client;
        this.metrics = metrics;
        directory.onRestarted(
                endpoint -> queues.values().forEach(queue -> queue.clearCacheEstimate(endpoint)));
        directory.onChanged(() -> queues.values().forEach(ModelQueue::dispatch));
    }

    /** Serves one generation until it ends. */
    public GenerationResult generate(KeyDigest key, GenerateRequest request, ChunkSink sink)
            throws RejectionException, InterruptedException {
        String team = keys.teamOf(key);
        validate(request);
        PoolObject pool = pool(request.getModel());
        Generation generation = prepare(team, pool, request, sink);
        String reservation = reserve(key, generation, request);
        String id = team + "/" + request.getRequestId();
        running.put(id, generation);
        try {
            return run(key, generation, pool, request);
        } finally {
            running.remove(id, generation);
            settle(reservation, generation, request);
        }
    }

    private static void validate(GenerateRequest request) throws RejectionException {
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

    private String reserve(KeyDigest key, Generation generation, GenerateRequest request)
            throws RejectionException {
        String id = UUID.randomUUID().toString();
        double tokens =
                generation.chain().tokens() + request.getMaxTokens() - request.getStartOffset();
        Admission admission =
                rates.reserve(id, generation.team(), tokens, generation.deadlineNanos());
        switch (admission) {
            case Admission.Granted granted -> metrics.countAdmitted(generation.team());
            case Admission.OverRate over -> {
                metrics.countOverRate(generation.team());
                throw overRate(over.retryAfterNanos());
            }
            case Admission.NotHeld notHeld -> {
                metrics.countRateUnavailable(generation.team());
                // Rejects the request if this VM has become stale while the request waited.
                keys.teamOf(key);
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
        double usedTokens = started ? generation.chain().tokens() + produced : 0;
        rates.settle(reservation, generation.team(), usedTokens);
    }

    private GenerationResult run(
            KeyDigest key, Generation generation, PoolObject pool, GenerateRequest request)
            throws RejectionException, InterruptedException {
        ModelQueue queue = queue(pool.getPool());
        Set<String> avoided = new HashSet<>();
        long arrivalNanos = System.nanoTime();
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            ModelQueue.Slot slot =
                    queue.acquire(
                            generation.team(),
                            generation.chain(),
                            avoided,
                            generation.deadlineNanos(),
                            generation.cancelled());
            // Checks the key again: while the request waited, the key may have been withdrawn or
            // this VM may have become stale.
            try {
                keys.teamOf(key);
                Attempt runnerAttempt = new Attempt(generation, queue, slot, arrivalNanos);
                Optional<GenerationResult> result = runnerAttempt.execute(request);
                if (result.isPresent()) {
                    return result.get();
                }
            } finally {
                slot.endpoint().recordEnded();
                queue.release(slot.endpoint());
            }
            avoided.add(slot.endpoint().name());
            rejectIfCancelledOrExpired(generation);
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        throw failed(generation, "all attempts failed", ProblemCode.ENDPOINTS_FAILED);
    }

    private void rejectIfCancelledOrExpired(Generation generation) throws RejectionException {
        if (generation.isCancelled()) {
            throw failed(generation, "the caller cancelled", ProblemCode.CANCELLED);
        }
        boolean firstChunkReceived = generation.progress().textSoFar().isPresent();
        if (!firstChunkReceived && System.nanoTime() > generation.deadlineNanos()) {
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

    /** Cancels a generation of a team; returns false if it does not run on this VM. */
    public boolean cancel(String team, String requestId) {
        Generation generation = running.get(team + "/" + requestId);
        if (generation == null) {
            return false;
        }
        generation.cancel();
        return true;
    }

    /** Returns the number of generations in progress. */
    public int running() {
        return running.size();
    }

    /** One attempt at one runner. Confined to one thread. */
    private final class Attempt implements CompletionListener {
        private final Generation generation;
        private final ModelQueue queue;
        private final ModelQueue.Slot slot;
        private final long arrivalNanos;
        private final int queuedTokens;

        /**
         * The request id sent to the runner, different for each attempt. With the caller's id,
         * which the caller may use again to resume the stream through another VM, the cancellation
         * of a failed attempt could end the resumed stream.
         */
        private final String runnerRequestId;

        private StreamProgress.Attempt attempt;
        private boolean prefilled;
        private boolean ended;
        private int cachedTokens;

        private Attempt(
                Generation generation, ModelQueue queue, ModelQueue.Slot slot, long arrivalNanos) {
            this.generation = generation;
            this.queue = queue;
            this.slot = slot;
            this.arrivalNanos = arrivalNanos;
            this.runnerRequestId = generation.requestId() + "." + UUID.randomUUID();
            this.queuedTokens =
                    ModelQueue.expectedPrefillTokens(generation.chain(), slot.placement());
        }

        /** Runs the attempt. Returns the result, or empty if the stream needs another attempt. */
        private Optional<GenerationResult> execute(GenerateRequest request) {
            attempt = generation.progress().startAttempt();
            try {
                client.complete(slot.endpoint(), toCompletion(request), this);
            } catch (RunnerException | StreamGapException failed) {
                EventLog.warn(
                        LogEvent.STREAM_MOVED,
                        "request " + generation.requestId() + ", reason: " + failed.getMessage());
            } finally {
                recordPrefilled();
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
        public boolean onChunk(int offset, String text) throws StreamGapException {
            recordPrefilled();
            if (generation.isCancelled()) {
                return false;
            }
            boolean first = generation.progress().textSoFar().isEmpty();
            if (generation.progress().accept(attempt.number(), offset, text)) {
                if (first) {
                    metrics.recordFirstToken(generation.team(), System.nanoTime() - arrivalNanos);
                }
                return generation.sink().send(offset, text);
            }
            return true;
        }

        @Override
        public void onEnd(int runnerCachedTokens, EndpointReport report) {
            recordPrefilled();
            ended = generation.progress().finish(attempt.number());
            cachedTokens = runnerCachedTokens;
            queue.recordCompletion(slot, generation.chain(), runnerCachedTokens);
            directory.recordReport(slot.endpoint(), report);
            metrics.recordPrefilled(
                    generation.chain().tokens(), runnerCachedTokens, attempt.number() > 1);
        }

        private void recordPrefilled() {
            if (!prefilled) {
                prefilled = true;
                slot.endpoint().recordPrefilled(queuedTokens);
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
