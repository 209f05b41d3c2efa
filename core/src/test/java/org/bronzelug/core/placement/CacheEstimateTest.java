package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that rely on cache entries of a dead engine, another team or older
 * weights. If the text alone identified a prefix, an estimate would outlive a crash of the engine
 * or a change of its weights, and would cover equal text of another team. Callers would get text
 * generated from another team's prompt, or a slow first token instead of a cache hit.
 */
class CacheEstimateTest {
    private static final List<String> TEXT = List.of("rules ".repeat(50), "sheet ".repeat(50), "q");
    private static final long LIFETIME = 1_000;

    private final CacheEstimate cacheEstimate = new CacheEstimate(100, LIFETIME, 0);
    private final PrefixChain chain = PrefixChain.of("team", "model", 1, TEXT);

    @Test
    void findsPrefixesCachedByTheSameIncarnation() {
        cacheEstimate.recordCached("runner", "a", chain, 0);
        assertThat(cacheEstimate.cachedTokens("runner", "a", chain, 10)).isEqualTo(chain.tokens());
    }

    @Test
    void findsNothingCachedByADeadIncarnation() {
        cacheEstimate.recordCached("runner", "a", chain, 0);
        assertThat(cacheEstimate.cachedTokens("runner", "b", chain, 10)).isEqualTo(0);
        cacheEstimate.recordCached(
                "runner", "b", PrefixChain.of("team", "model", 1, List.of("x")), 10);
        assertThat(cacheEstimate.cachedTokens("runner", "b", chain, 10)).isEqualTo(0);
    }

    @Test
    void findsNothingCachedForAnotherTeamModelOrWeightsVersion() {
        cacheEstimate.recordCached("runner", "a", chain, 0);
        for (PrefixChain other :
                List.of(
                        PrefixChain.of("other", "model", 1, TEXT),
                        PrefixChain.of("team", "other", 1, TEXT),
                        PrefixChain.of("team", "model", 2, TEXT))) {
            assertThat(cacheEstimate.cachedTokens("runner", "a", other, 10)).isEqualTo(0);
            assertThat(other.salt()).isNotEqualTo(chain.salt());
        }
    }

    @Test
    void ignoresEntriesPastTheirLifetime() {
        cacheEstimate.recordCached("runner", "a", chain, 0);
        assertThat(cacheEstimate.cachedTokens("runner", "a", chain, LIFETIME + 1)).isEqualTo(0);
    }

    @Test
    void removesLevelsThatTheRunnerDidNotFind() {
        cacheEstimate.recordCached("runner", "a", chain, 0);
        int root = chain.root().tokens();
        cacheEstimate.recordFound("runner", "a", chain, root);
        assertThat(cacheEstimate.cachedTokens("runner", "a", chain, 10)).isEqualTo(root);
    }

    /** Moving characters between the names of team and model must not lead to the same salt. */
    @Property(seed = "7601")
    void saltsAreDistinctForDistinctTeamsAndModels(
            @ForAll @Size(min = 2, max = 6)
                    Set<@IntRange(min = 0, max = 40) Integer> teamsAndModels) {
        Set<String> salts = new HashSet<>();
        for (int teamAndModel : teamsAndModels) {
            String team = "a".repeat(teamAndModel % 7);
            String model = "a".repeat(teamAndModel / 7);
            salts.add(PrefixChain.salt(team, model, 1));
        }
        assertThat(salts).hasSize(teamsAndModels.size());
    }

    /** A restarted VM has no cache estimate, so it must place prompts by the prompt alone. */
    @Property(seed = "7602")
    void placementWithoutEstimateIsTheSameOnEveryVm(@ForAll @IntRange(max = 500) int prompt) {
        PlacementPolicy policy = new PlacementPolicy(PlacementSettings.defaults());
        PrefixChain promptChain =
                PrefixChain.of("team", "model", 1, List.of("rules " + prompt, "question"));
        List<RunnerLoad> runners =
                List.of(load("r1", 0), load("r2", 0), load("r3", 0), load("r4", 0));
        Optional<Placement> first =
                policy.choose(promptChain, runners, new CacheEstimate(10, LIFETIME, 0), 0);
        Optional<Placement> second =
                policy.choose(
                        PrefixChain.of("team", "model", 1, List.of("rules " + prompt, "another")),
                        runners.reversed(),
                        new CacheEstimate(10, LIFETIME, 0),
                        99);
        assertThat(first.map(Placement::runner)).isEqualTo(second.map(Placement::runner));
    }

    @Test
    void longQueueOutweighsCachedPrefix() {
        PlacementPolicy policy = new PlacementPolicy(PlacementSettings.defaults());
        cacheEstimate.recordCached("r1", "i", chain, 0);
        assertThat(choose(policy, load("r1", 0), load("r2", 0))).isEqualTo("r1");
        assertThat(choose(policy, load("r1", 5_000), load("r2", 0))).isEqualTo("r2");
    }

    private String choose(PlacementPolicy policy, RunnerLoad... runners) {
        return policy.choose(chain, List.of(runners), cacheEstimate, 10).orElseThrow().runner();
    }

    private static RunnerLoad load(String name, double queued) {
        return new RunnerLoad(name, "i", queued, 0);
    }
}
