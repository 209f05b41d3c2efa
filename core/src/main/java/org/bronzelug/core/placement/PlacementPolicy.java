package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.bronzelug.core.membership.Rendezvous;

/**
 * Chooses the runner of a request: the least expected time to the first token.
 *
 * <p>The cost of a runner is the prefill work that waits there plus that of the tokens missing in
 * its cache, plus the slowdown by the streams it generates for. Where the cache is not known, the
 * runner that rendezvous hashing names for the prompt's shared prefix is assumed to hold it. That
 * needs no memory, so a restarted VM, or all of them at once, place as before the restart. A VM
 * that has remembered for long enough, and knows who holds the prompt's root, trusts that instead:
 * a runner without the root would have to compute all of it.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlacementPolicy {
    private final PlacementSettings settings;

    public PlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    /**
     * Chooses among the runners.
     *
     * @return empty where there is no runner
     */
    public Optional<Placement> choose(
            PrefixChain chain,
            Collection<RunnerLoad> runners,
            CacheEstimate cacheEstimate,
            long nowNanos) {
        boolean known =
                anyKnown(chain.deepestSharedLevel(), chain, runners, cacheEstimate, nowNanos)
                        || cacheEstimate.isComplete(nowNanos)
                                && anyKnown(chain.root(), chain, runners, cacheEstimate, nowNanos);
        Optional<String> home = known ? Optional.empty() : homeRunner(chain, runners);
        double weight = missingTokenWeight(runners);
        Optional<Placement> best = Optional.empty();
        for (RunnerLoad runner : runners) {
            boolean assumeHome = home.filter(runner.name()::equals).isPresent();
            Placement candidate =
                    evaluate(chain, runner, assumeHome, weight, cacheEstimate, nowNanos);
            if (best.isEmpty() || better(chain, candidate, best.get())) {
                best = Optional.of(candidate);
            }
        }
        return best;
    }

    /**
     * What a missing token counts, against one that waits.
     *
     * <p>It grows with the queues. The failure this guards against: half of the runners leave, all
     * queues get long, and their differences, known late, outweigh every cached prefix; prefixes
     * are copied everywhere, push each other out, and the misses make the queues longer still. A
     * token computed again delays all who wait behind it, so that is what it counts.
     */
    private double missingTokenWeight(Collection<RunnerLoad> runners) {
        double queued =
                runners.stream().mapToDouble(RunnerLoad::queuedPrefillTokens).average().orElse(0);
        return settings.missingTokenWeight() + queued / settings.tokensPerWaitingRequest();
    }

    private Placement evaluate(
            PrefixChain chain,
            RunnerLoad runner,
            boolean assumeHome,
            double missingTokenWeight,
            CacheEstimate cacheEstimate,
            long nowNanos) {
        int cached =
                cacheEstimate.cachedTokens(runner.name(), runner.incarnation(), chain, nowNanos);
        int assumed = assumeHome ? chain.deepestSharedLevel().tokens() : 0;
        int missing = chain.tokens() - Math.max(cached, assumed);
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

    private static boolean better(PrefixChain chain, Placement candidate, Placement best) {
        if (candidate.costNanos() != best.costNanos()) {
            return candidate.costNanos() < best.costNanos();
        }
        String key = chain.deepestSharedLevel().hash().toString();
        return Rendezvous.weight(key, candidate.runner()) > Rendezvous.weight(key, best.runner());
    }

    private static Optional<String> homeRunner(PrefixChain chain, Collection<RunnerLoad> runners) {
        String key = chain.deepestSharedLevel().hash().toString();
        return Rendezvous.first(key, runners.stream().map(RunnerLoad::name).toList());
    }

    private static boolean anyKnown(
            PrefixLevel level,
            PrefixChain chain,
            Collection<RunnerLoad> runners,
            CacheEstimate cacheEstimate,
            long nowNanos) {
        return runners.stream()
                .anyMatch(
                        runner ->
                                cacheEstimate.cachedTokens(
                                                runner.name(),
                                                runner.incarnation(),
                                                chain,
                                                nowNanos)
                                        >= level.tokens());
    }
}
