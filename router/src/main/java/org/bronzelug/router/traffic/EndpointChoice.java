package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.core.placement.CacheEstimate;
import org.bronzelug.core.placement.LeastLoad;
import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.ReplacedWeightsPenalty;
import org.bronzelug.core.placement.RunnerLoad;
import org.bronzelug.core.placement.SlotWait;
import org.bronzelug.router.exchange.PromptSpec;

/**
 * Chooses the endpoint of a request.
 *
 * <p>A request without a prompt goes to the least loaded endpoint of its pool ({@link LeastLoad}).
 * A prompt goes to the runner with the lowest expected time to the first token ({@link
 * PlacementPolicy}), which depends on the tokens queued at the runner and on how much of the prompt
 * its cache is estimated to hold. The estimate is built from the prompts that this VM and its peers
 * sent to each runner. Runners that are expected to reject requests, and suspect ones, are excluded
 * while there are others. Endpoints that leave or have asked for a backoff are always excluded.
 *
 * <p>Invariant: no prompt is sent to a runner with replaced weights unless it is expected to begin
 * there within the bound on them. Until then, replaced weights only add a penalty to the cost of
 * the runner. Confined to the traffic thread.
 */
public final class EndpointChoice {
    /** Bounds the memory that this VM uses; it says nothing about the runner's cache size. */
    private static final int PREFIXES_PER_RUNNER = 256;

    /** Cached prefixes that were not used for this long are assumed to be evicted. */
    private static final long CACHE_ENTRY_LIFETIME_NANOS = 20_000_000_000L;

    /** Cost of each stream in the runner's batch: it lengthens every decoding step a little. */
    private static final double NANOS_PER_STREAM = 50_000;

    /** Weight of a token that must be prefilled, relative to one that waits in the queue. */
    private static final double MISSING_TOKEN_WEIGHT = 3;

    /** A queue that takes this long to prefill counts as one waiting request. */
    private static final double NANOS_PER_WAITING_REQUEST = 500_000_000;

    /**
     * How long replaced weights get no penalty. Responses on weights that have been replaced for
     * 1.5 s or more are worth less, and a request takes a moment to begin.
     */
    private static final long REPLACED_WEIGHTS_GRACE_NANOS = 1_300_000_000L;

    /** A prompt may wait this many times as long as estimated: runners differ in speed. */
    private static final double WAIT_ESTIMATE_MULTIPLE = 2;

    /** Penalty for replaced weights in pools that are not adaptive, as a queue delay. */
    private static final double REPLACED_WEIGHTS_PENALTY_NANOS = 400_000_000;

    /** A queue of fewer tokens does not delay a prompt noticeably. */
    private static final double IDLE_TOKENS = 500;

    private final EndpointTable endpoints;
    private final String availabilityZone;
    private final CacheEstimate cacheEstimate =
            new CacheEstimate(PREFIXES_PER_RUNNER, CACHE_ENTRY_LIFETIME_NANOS, System.nanoTime());
    private final PrefixReads prefixReads = new PrefixReads();
    private final WeightsAges weightsAges;
    private final SpeedPlacement speeds;

    EndpointChoice(EndpointTable endpoints, String availabilityZone, WeightsAges weightsAges) {
        this.speeds = new SpeedPlacement(endpoints.adaptivePools(), availabilityZone);
        this.endpoints = endpoints;
        this.availabilityZone = availabilityZone;
        this.weightsAges = weightsAges;
    }

    /** Returns the placement by measured speeds. */
    public SpeedPlacement speeds() {
        return speeds;
    }

    /** Returns the endpoint for a request without a prompt; empty if none is available. */
    public Optional<EndpointState> leastLoadedEndpoint(
            String pool, Predicate<String> allowed, long nowNanos) {
        Map<String, EndpointState> usable = new HashMap<>();
        for (EndpointState state : endpoints.available(pool, nowNanos)) {
            boolean begins =
                    weightsAges.mayWait(
                            state, Optional.empty(), WeightsAges.MINIMUM_WAIT_NANOS, nowNanos);
            if (begins && allowed.test(state.entry().id())) {
                usable.put(state.entry().id(), state);
            }
        }
        if (endpoints.adaptivePools().contains(pool)) {
            return speeds.choose(usable.values(), nowNanos);
        }
        List<LeastLoad.Candidate> candidates =
                usable.values().stream().map(state -> candidate(state, nowNanos)).toList();
        return LeastLoad.choose(candidates).map(best -> usable.get(best.endpoint()));
    }

    private LeastLoad.Candidate candidate(EndpointState state, long nowNanos) {
        return new LeastLoad.Candidate(
                state.entry().id(),
                state.entry().availabilityZone().equals(availabilityZone),
                state.isSuspect(nowNanos),
                state.requests(),
                Math.max(1, state.entry().slots()));
    }

    /**
     * Returns the runner for a prompt; empty if none is available.
     *
     * @param goalMillis target time to the prompt's first token
     * @param cachePartition separates the cached prefixes of dedicated teams
     * @param allowed returns whether the endpoint with the given id may be chosen
     */
    public Optional<RunnerChoice> chooseRunner(
            String pool,
            PromptSpec prompt,
            long goalMillis,
            String cachePartition,
            Predicate<String> allowed,
            long nowNanos) {
        List<EndpointState> usable =
                endpoints.available(pool, nowNanos).stream()
                        .filter(state -> allowed.test(state.entry().id()))
                        .filter(state -> isBeginExpectedInTime(state, prompt, nowNanos))
                        .toList();
        usable = preferred(usable, nowNanos);
        int considered = usable.size();
        PrefixChain chain = PrefixChain.ofParts(cachePartition + prompt.model(), prompt.parts());
        List<RunnerLoad> loads =
                usable.stream()
                        .map(state -> load(state, prompt.model(), goalMillis, nowNanos))
                        .toList();
        Optional<Placement> placement = policy(pool).choose(chain, loads, cacheEstimate, nowNanos);
        return placement.flatMap(
                best ->
                        endpoints
                                .find(best.runner())
                                .map(
                                        state ->
                                                runnerChoice(
                                                        state,
                                                        best,
                                                        chain,
                                                        prompt,
                                                        goalMillis,
                                                        considered,
                                                        nowNanos)));
    }

    private PlacementPolicy policy(String pool) {
        double nanosPerToken = endpoints.prefillRate(pool).nanosPerToken();
        return new PlacementPolicy(
                new PlacementSettings(
                        nanosPerToken,
                        NANOS_PER_STREAM,
                        MISSING_TOKEN_WEIGHT,
                        NANOS_PER_WAITING_REQUEST / nanosPerToken));
    }

    /** Returns the estimated queue delay of the prompt at the runner. */
    public double waitNanos(RunnerChoice choice) {
        return choice.queuedTokens() * choice.endpoint().prefillRate().nanosPerToken();
    }

    /** Returns the estimated time until the prompt is prefilled at the runner. */
    public double expectedNanos(RunnerChoice choice) {
        double tokens = choice.queuedTokens() + choice.missingTokens();
        return tokens * choice.endpoint().prefillRate().nanosPerToken();
    }

    /**
     * Records the time to the first byte of a prompt that was prefilled in whole, if the prompt was
     * not queued.
     *
     * @param sentNanos when the request was sent, by the local monotonic clock
     */
    public void recordPrefillTime(RunnerChoice choice, long sentNanos, long nowNanos) {
        if (choice.queuedTokens() < IDLE_TOKENS) {
            choice.endpoint().prefillRate().record(choice.chain().tokens(), nowNanos - sentNanos);
        }
    }

    /**
     * Returns whether the runner should save the prompt's shared prefix to the cache store, since
     * no runner is known to have saved it.
     */
    public boolean shouldSave(RunnerChoice choice, long nowNanos) {
        return !choice.sharedCached()
                && prefixReads.isUnsaved(
                        choice.chain().deepestSharedLevel().hash(),
                        choice.weightsVersion(),
                        nowNanos);
    }

    /**
     * Records that the runner has prefilled the prompt. Called when its response has begun.
     *
     * <p>If it were called earlier, a runner that rejects the request or has lost its power would
     * be recorded although it prefilled and saved nothing. Every other runner would then prefill
     * the prefix again that is wrongly assumed to be saved.
     *
     * @param saved whether the request told the runner to save the prefix
     */
    public void recordRead(RunnerChoice choice, String model, boolean saved, long nowNanos) {
        prefixReads.record(choice, model, saved, nowNanos);
        cacheEstimate.recordCached(
                choice.endpoint().entry().id(), choice.incarnation(), choice.chain(), nowNanos);
    }

    /** Records the prompts that other VMs have sent to runners. */
    void recordPeerReads(List<PrefixRead> peerReads, long nowNanos) {
        for (PrefixRead read : peerReads) {
            prefixReads.recordPeer(read, nowNanos);
            endpoints
                    .find(read.getEndpoint())
                    .filter(state -> state.weights(read.getModel()) == read.getVersion())
                    .ifPresent(state -> recordLevels(state, read, nowNanos));
        }
    }

    private void recordLevels(EndpointState state, PrefixRead read, long nowNanos) {
        String incarnation = state.cacheIncarnation(read.getModel());
        for (PrefixHash level : PrefixReads.hashes(read)) {
            cacheEstimate.recordLevel(state.entry().id(), incarnation, level, nowNanos);
        }
    }

    /** Returns this VM's recent prefix reads, to be reported to the other VMs. */
    public List<PrefixRead> readsToReport(long nowNanos) {
        return prefixReads.readsToReport(nowNanos);
    }

    private static List<EndpointState> preferred(List<EndpointState> usable, long nowNanos) {
        List<EndpointState> accepting =
                usable.stream().filter(state -> !state.isExpectedToReject(nowNanos)).toList();
        Collection<EndpointState> healthy =
                accepting.stream().filter(state -> !state.isSuspect(nowNanos)).toList();
        if (!healthy.isEmpty()) {
            return List.copyOf(healthy);
        }
        return accepting.isEmpty() ? usable : accepting;
    }

    /** Returns whether the prompt will begin while requests may begin on the runner's weights. */
    private boolean isBeginExpectedInTime(EndpointState state, PromptSpec prompt, long nowNanos) {
        double tokens =
                state.load().ownTokens()
                        + state.peerUsage().queuedPrefillTokens()
                        + prompt.inputTokens();
        double waitNanos = WAIT_ESTIMATE_MULTIPLE * tokens * state.prefillRate().nanosPerToken();
        return weightsAges.mayWait(
                state,
                Optional.of(prompt.model()),
                Math.max(WeightsAges.MINIMUM_WAIT_NANOS, waitNanos),
                nowNanos);
    }

    private RunnerLoad load(EndpointState state, String model, long goalMillis, long nowNanos) {
        PeerEndpointUsage peers = state.peerUsage();
        RunnerLoad own = state.load().load(state.entry().id(), state.cacheIncarnation(model));
        return new RunnerLoad(
                own.name(),
                own.incarnation(),
                own.queuedPrefillTokens()
                        + peers.queuedPrefillTokens()
                        + slotWaitTokens(state)
                        + replacedWeightsPenaltyTokens(state, model, goalMillis, nowNanos),
                own.runningStreams() + peers.requests());
    }

    /** Returns the wait for a free slot in an adaptive pool, as tokens added to the queue. */
    private int slotWaitTokens(EndpointState state) {
        if (!endpoints.adaptivePools().contains(state.entry().pool())) {
            return 0;
        }
        double waitNanos = SlotWait.nanos(state.requests(), state.entry().slots());
        return (int) (waitNanos / state.prefillRate().nanosPerToken());
    }

    /** Returns the penalty for replaced weights, as tokens added to the runner's queue. */
    private int replacedWeightsPenaltyTokens(
            EndpointState state, String model, long goalMillis, long nowNanos) {
        long replacedNanos =
                weightsAges.replacedNanos(model, state.weights(model), nowNanos).orElse(0);
        if (replacedNanos <= REPLACED_WEIGHTS_GRACE_NANOS) {
            return 0;
        }
        double penaltyNanos =
                endpoints.adaptivePools().contains(state.entry().pool())
                        ? ReplacedWeightsPenalty.nanos(goalMillis)
                        : REPLACED_WEIGHTS_PENALTY_NANOS;
        return (int) (penaltyNanos / state.prefillRate().nanosPerToken());
    }

    private RunnerChoice runnerChoice(
            EndpointState state,
            Placement best,
            PrefixChain chain,
            PromptSpec prompt,
            long goalMillis,
            int considered,
            long nowNanos) {
        int missing = Math.max(1, chain.tokens() - best.estimatedCachedTokens());
        boolean sharedCached = best.estimatedCachedTokens() >= chain.deepestSharedLevel().tokens();
        return new RunnerChoice(
                state,
                best.incarnation(),
                chain,
                state.weights(prompt.model()),
                weightsAges.replacedNanos(prompt.model(), state.weights(prompt.model()), nowNanos),
                missing,
                sharedCached,
                best.queuedTokens()
                        - replacedWeightsPenaltyTokens(state, prompt.model(), goalMillis, nowNanos),
                best,
                considered);
    }
}
