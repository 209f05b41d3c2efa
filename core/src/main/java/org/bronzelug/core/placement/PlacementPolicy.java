package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.bronzelug.core.membership.Rendezvous;

/**
 * Chooses the runner for a prompt by prefix cache and load: the runner with the lowest cost, which
 * approximates the time to the first token.
 *
 * <p>The cost of a runner is the time to prefill the tokens queued there and the prompt's tokens
 * that are missing from its cache, plus the slowdown by the streams that it is generating. A
 * missing token has a higher weight than a queued one.
 *
 * <p>Cached tokens are taken from a {@link CacheEstimate}. If it has no runner with the prompt's
 * deepest shared level, the runner that rendezvous hashing selects for that level is assumed to
 * have it. Rendezvous hashing needs no memory, so a VM places prompts after a restart as before,
 * even if all VMs restart at once. The assumption is not made if the estimate is complete (see
 * {@link CacheEstimate#isComplete}) and has a runner with the prompt's root: a runner without the
 * root would have to prefill the whole prompt.
 *
 * <p>Invariant: the choice depends only on the prompt, the runners' loads and the cache estimate,
 * not on the order of the runners; equal costs are decided by rendezvous hashing. VMs that know the
 * same thus choose the same runner. Stateless and thread-safe.
 */
public final class PlacementPolicy {
    private final PlacementSettings settings;

    public PlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    /**
     * Chooses a runner.
     *
     * @return the choice; empty if there are no runners
     */
    public Optional<Placement> choose(
            PrefixChain chain,
            Collection<RunnerLoad> runners,
            CacheEstimate cacheEstimate,
            long nowNanos) {
        List<RunnerLoad> candidates = List.copyOf(runners);
        int[] cachedTokens = new int[candidates.size()];
        int mostCached = 0;
        for (int index = 0; index < cachedTokens.length; index++) {
            RunnerLoad runner = candidates.get(index);
            cachedTokens[index] =
                    cacheEstimate.cachedTokens(
                            runner.name(), runner.incarnation(), chain, nowNanos);
            mostCached = Math.max(mostCached, cachedTokens[index]);
        }
        boolean isCacheKnown =
                mostCached >= chain.deepestSharedLevel().tokens()
                        || cacheEstimate.isComplete(nowNanos)
                                && mostCached >= chain.root().tokens();
        long key = chain.deepestSharedLevel().hash().low();
        Optional<String> rendezvousChoice =
                isCacheKnown
                        ? Optional.empty()
                        : Rendezvous.first(key, candidates.stream().map(RunnerLoad::name).toList());
        double weight = missingTokenWeight(candidates);
        Optional<Placement> best = Optional.empty();
        for (int index = 0; index < cachedTokens.length; index++) {
            RunnerLoad runner = candidates.get(index);
            boolean assumeCached = rendezvousChoice.filter(runner.name()::equals).isPresent();
            Placement candidate =
                    evaluate(chain, runner, cachedTokens[index], assumeCached, weight);
            if (best.isEmpty() || isBetter(key, candidate, best.get())) {
                best = Optional.of(candidate);
            }
        }
        return best;
    }

    /**
     * Returns the cost of a token missing from the cache, relative to a queued token.
     *
     * <p>The weight grows with the mean queue length, since a token that is prefilled again delays
     * all requests queued behind it. Without this, when half of the runners leave, all queues grow
     * and their differences, which are known with a delay, outweigh every cached prefix: prefixes
     * are copied to all runners and evict each other, and the cache misses make the queues longer
     * still.
     */
    private double missingTokenWeight(Collection<RunnerLoad> runners) {
        double total = 0;
        for (RunnerLoad runner : runners) {
            total += runner.queuedPrefillTokens();
        }
        double queued = total / Math.max(1, runners.size());
        return settings.missingTokenWeight() + queued / settings.tokensPerWaitingRequest();
    }

    private Placement evaluate(
            PrefixChain chain,
            RunnerLoad runner,
            int cached,
            boolean assumeCached,
            double missingTokenWeight) {
        int assumedTokens = assumeCached ? chain.deepestSharedLevel().tokens() : 0;
        int missing = chain.tokens() - Math.max(cached, assumedTokens);
        double weighted = runner.queuedPrefillTokens() + missing * missingTokenWeight;
        double prefill = weighted * settings.nanosPerPrefillToken();
        double decode = runner.runningStreams() * settings.nanosPerRunningStream();
        return new Placement(
                runner.name(),
                runner.incarnation(),
                cached,
                runner.queuedPrefillTokens(),
                prefill + decode);
    }

    private static boolean isBetter(long key, Placement candidate, Placement best) {
        if (candidate.costNanos() != best.costNanos()) {
            return candidate.costNanos() < best.costNanos();
        }
        return Rendezvous.weight(key, candidate.runner()) > Rendezvous.weight(key, best.runner());
    }
}
