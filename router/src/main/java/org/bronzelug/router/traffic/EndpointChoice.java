package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.core.placement.CacheEstimate;
import org.bronzelug.core.placement.LeastLoad;
import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.RunnerLoad;
import org.bronzelug.router.exchange.PromptSpec;

/**
 * Chooses the endpoint of a request. Confined to the traffic thread.
 *
 * <p>Prompts are placed by prefix and load ({@link PlacementPolicy}). Runners that load weights or
 * failed lately are excluded while there are others. Runners with older weights get a penalty, and
 * are excluded before the bound on older weights is reached.
 */
public final class EndpointChoice {
    /** Bounds the memory of this VM, not that of the runner. */
    private static final int PREFIXES_PER_RUNNER = 256;

    /** Entries that were not used for so long are taken for evicted. */
    private static final long BELIEF_NANOS = 20_000_000_000L;

    /** Cost of a stream in the batch: it lengthens each decoding step a little. */
    private static final double NANOS_PER_STREAM = 50_000;

    private static final double MISSING_TOKEN_WEIGHT = 3;

    /** A queue that takes so long counts as one waiting request. */
    private static final double NANOS_PER_WAITING_REQUEST = 500_000_000;

    /** Answers on older weights are worth less from 1.5 s on; requests take a moment to begin. */
    private static final long OLDER_WEIGHTS_GRACE_NANOS = 1_300_000_000L;

    /** A request that waits at a runner begins up to so long after it was sent there. */
    private static final long OLDER_WEIGHTS_MARGIN_NANOS = 1_500_000_000L;

    /** Penalty of older weights, as a queue delay. */
    private static final double OLDER_WEIGHTS_NANOS = 400_000_000;

    /** Below this, a queue does not delay a prompt noticeably. */
    private static final double IDLE_TOKENS = 500;

    private final EndpointTable endpoints;
    private final String availabilityZone;
    private final long olderWeightsEndNanos;
    private final CacheEstimate cacheEstimate =
            new CacheEstimate(PREFIXES_PER_RUNNER, BELIEF_NANOS, System.nanoTime());
    private final PrefixReads reads = new PrefixReads();
    private Map<String, WeightsTarget> weights = Map.of();

    /**
     * @param weightsNanos after which no request may begin on older weights
     */
    EndpointChoice(EndpointTable endpoints, String availabilityZone, long weightsNanos) {
        this.endpoints = endpoints;
        this.availabilityZone = availabilityZone;
        this.olderWeightsEndNanos = weightsNanos - OLDER_WEIGHTS_MARGIN_NANOS;
    }

    void update(Map<String, WeightsTarget> newest) {
        weights = newest;
    }

    /** The endpoint for a request without a prompt. */
    public Optional<EndpointState> leastLoadedEndpoint(
            String pool, Predicate<String> allowed, long nowNanos) {
        Map<String, EndpointState> usable = new HashMap<>();
        for (EndpointState state : endpoints.takingWork(pool)) {
            if (allowed.test(state.entry().id())) {
                usable.put(state.entry().id(), state);
            }
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

    /** The runner for a prompt. */
    public Optional<RunnerChoice> byPrefix(
            String pool, PromptSpec prompt, String wall, Predicate<String> allowed, long nowNanos) {
        List<EndpointState> usable =
                endpoints.takingWork(pool).stream()
                        .filter(state -> allowed.test(state.entry().id()))
                        .filter(state -> mayBegin(state, prompt.model(), nowNanos))
                        .toList();
        usable = preferred(usable, nowNanos);
        int considered = usable.size();
        PrefixChain chain = PrefixChain.ofParts(wall + prompt.model(), prompt.parts());
        List<RunnerLoad> loads =
                usable.stream().map(state -> load(state, prompt.model(), nowNanos)).toList();
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

    /** The estimated queue delay of the prompt at the runner. */
    public double waitNanos(RunnerChoice choice) {
        return choice.queuedTokens() * choice.endpoint().prefillRate().nanosPerToken();
    }

    /**
     * Records the time to the first byte of a prompt that no runner had cached, if it did not
     * queue.
     *
     * @param sentNanos when the request was sent
     */
    public void learnRate(RunnerChoice choice, long sentNanos, long nowNanos) {
        if (choice.queuedTokens() < IDLE_TOKENS) {
            choice.endpoint().prefillRate().record(choice.chain().tokens(), nowNanos - sentNanos);
        }
    }

    /** Whether the runner is to save what it reads of the prompt: nobody has yet. */
    public boolean isToBeSaved(RunnerChoice choice, long nowNanos) {
        return !choice.sharedCached()
                && reads.isUnsaved(
                        choice.chain().deepestSharedLevel().hash(),
                        choice.weightsVersion(),
                        nowNanos);
    }

    /**
     * Remembers that the runner has read the prompt: its answer has begun.
     *
     * <p>Not sooner: a runner that refuses, or has no power, reads and saves nothing, and what is
     * wrongly taken for saved is read again by every other runner.
     *
     * @param saved whether it was told to save
     */
    public void recordRead(RunnerChoice choice, String model, boolean saved, long nowNanos) {
        reads.record(choice, model, saved, nowNanos);
        cacheEstimate.recordCached(
                choice.endpoint().entry().id(), choice.incarnation(), choice.chain(), nowNanos);
    }

    /** Takes in what other VMs have sent to runners. */
    void recordPeers(List<PrefixRead> peerReads, long nowNanos) {
        for (PrefixRead read : peerReads) {
            reads.recordPeer(read, nowNanos);
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

    /** What the other VMs are told of this one's prompts. */
    public List<PrefixRead> readsToTell(long nowNanos) {
        return reads.toTell(nowNanos);
    }

    /** The newest weights named for a model. */
    public Optional<WeightsTarget> newest(String model) {
        return Optional.ofNullable(weights.get(model));
    }

    private static List<EndpointState> preferred(List<EndpointState> usable, long nowNanos) {
        List<EndpointState> idle =
                usable.stream().filter(state -> !state.isLoading(nowNanos)).toList();
        Collection<EndpointState> calm =
                idle.stream().filter(state -> !state.isSuspect(nowNanos)).toList();
        if (!calm.isEmpty()) {
            return List.copyOf(calm);
        }
        return idle.isEmpty() ? usable : idle;
    }

    private boolean mayBegin(EndpointState state, String model, long nowNanos) {
        return behindNanos(state, model, nowNanos) < olderWeightsEndNanos;
    }

    /** For how long the runner's weights have not been the newest; 0 where they are. */
    private long behindNanos(EndpointState state, String model, long nowNanos) {
        OptionalLong since =
                newest(model)
                        .map(target -> target.behindSinceNanos(state.weights(model)))
                        .orElseGet(OptionalLong::empty);
        return since.isPresent() ? nowNanos - since.getAsLong() : 0;
    }

    private RunnerLoad load(EndpointState state, String model, long nowNanos) {
        PeerEndpointUsage others = state.peerUse();
        RunnerLoad own = state.load().load(state.entry().id(), state.cacheIncarnation(model));
        return new RunnerLoad(
                own.name(),
                own.incarnation(),
                own.queuedPrefillTokens()
                        + others.queuedPrefillTokens()
                        + olderWeightsTokens(state, model, nowNanos),
                own.runningStreams() + others.requests());
    }

    /** What the runner's weights count as in the choice; nothing of it waits there. */
    private int olderWeightsTokens(EndpointState state, String model, long nowNanos) {
        boolean older = behindNanos(state, model, nowNanos) > OLDER_WEIGHTS_GRACE_NANOS;
        return older ? (int) (OLDER_WEIGHTS_NANOS / state.prefillRate().nanosPerToken()) : 0;
    }

    private RunnerChoice runnerChoice(
            EndpointState state,
            Placement best,
            PrefixChain chain,
            PromptSpec prompt,
            int considered,
            long nowNanos) {
        int missing = Math.max(1, chain.tokens() - best.estimatedCachedTokens());
        boolean sharedCached = best.estimatedCachedTokens() >= chain.deepestSharedLevel().tokens();
        return new RunnerChoice(
                state,
                best.incarnation(),
                chain,
                state.weights(prompt.model()),
                missing,
                sharedCached,
                best.queuedTokens() - olderWeightsTokens(state, prompt.model(), nowNanos),
                best,
                considered);
    }
}
