package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.PoolWork;
import org.bronzelug.core.placement.GoalClass;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.EngineLimits;
import org.bronzelug.core.routing.IngressLimits;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.WeightedPool;
import org.bronzelug.router.exchange.PromptSpec;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against prompts being kept from runners where the pool's runners are not divided. */
class GoalSetsTest {
    private static final String MODEL = "model";
    private static final String POOL = "pool";
    private static final int RUNNERS = 8;
    private static final long TIGHT_GOAL = 257;
    private static final long RELAXED_GOAL = 1_015;
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 1, 3_000, 8_000, 8_000, 2_000, 0);

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = group.next();
    private final TrafficState state =
            new TrafficState(
                    traffic,
                    new NoWireFormat(),
                    BOUNDS,
                    new RouterMetrics(),
                    "zone",
                    true,
                    LoadSettings.none());
    private int prompts;

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static Route route(String name, long goalMillis) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                true,
                RetryPolicy.RESUMABLE,
                false,
                10_000,
                goalMillis,
                0,
                3,
                List.of(new WeightedPool(POOL, 1)));
    }

    private static RoutingConfiguration configuration(long relaxedGoal, boolean engine) {
        Optional<EngineLimits> limits =
                engine ? Optional.of(new EngineLimits(32, 110_615, 1)) : Optional.empty();
        return new RoutingConfiguration(
                1,
                IngressLimits.defaults(),
                List.of(route("short", TIGHT_GOAL), route("long", relaxedGoal)),
                Map.of(POOL, new EndpointPool(POOL, 100, limits)),
                List.of(),
                List.of(),
                Map.of());
    }

    private void update(
            RoutingConfiguration configuration,
            boolean adaptive,
            Set<String> loading,
            List<PeerPoolWork> work) {
        Map<String, EndpointEntry> endpoints = new HashMap<>();
        for (int index = 0; index < RUNNERS; index++) {
            String id = "runner-" + index;
            Map<String, Long> weights = Map.of(MODEL, 1L);
            endpoints.put(
                    id,
                    new EndpointEntry(
                            id, POOL, "127.0.0.1:9", "zone", "v1", 32, false, 1, weights));
        }
        state.apply(
                new TrafficUpdate(
                        Optional.of(configuration),
                        endpoints,
                        true,
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        loading,
                        Map.of(),
                        1,
                        1,
                        List.of(),
                        0,
                        adaptive ? Set.of(POOL) : Set.of(),
                        work));
    }

    /** Reports work of a peer that keeps 1.2 runners busy with long and 0.4 with short prompts. */
    private static List<PeerPoolWork> work(int multiple) {
        return List.of(
                new PeerPoolWork("vm-2", "1", POOL, GoalClass.RELAXED, multiple * 96_000L),
                new PeerPoolWork("vm-2", "1", POOL, GoalClass.TIGHT, multiple * 32_000L));
    }

    private void updateWithWork(RoutingConfiguration configuration, boolean adaptive) {
        update(configuration, adaptive, Set.of(), work(0));
        update(configuration, adaptive, Set.of(), work(1));
    }

    /** Returns the runners of many prompts that differ in their cached parts. */
    private Set<String> chosen(long goalMillis) {
        Set<String> chosen = new HashSet<>();
        for (int index = 0; index < 200; index++) {
            chosen.add(choose(goalMillis, Set.of()).endpoint().entry().id());
        }
        return chosen;
    }

    private RunnerChoice choose(long goalMillis, Set<String> excluded) {
        prompts++;
        List<PromptPart> parts =
                List.of(new PromptPart("shared" + prompts, 500), new PromptPart("own", 100));
        return state.choice()
                .chooseRunner(
                        POOL,
                        new PromptSpec(MODEL, 600, 30, parts),
                        goalMillis,
                        "",
                        id -> !excluded.contains(id),
                        System.nanoTime())
                .orElseThrow();
    }

    @Test
    void classesGetDifferentRunnersAndEachRunnerIsUsed() {
        updateWithWork(configuration(RELAXED_GOAL, true), true);
        Set<String> tight = chosen(TIGHT_GOAL);
        Set<String> relaxed = chosen(RELAXED_GOAL);
        assertThat(tight).containsNoneIn(relaxed);
        assertThat(tight.size() + relaxed.size()).isEqualTo(RUNNERS);
    }

    @ParameterizedTest
    @CsvSource({"1015,true,false", "500,true,true", "1015,false,true"})
    void allRunnersAreUsedAsBeforeInOtherPools(long relaxedGoal, boolean engine, boolean adaptive) {
        updateWithWork(configuration(relaxedGoal, engine), adaptive);
        state.goals().recordSent(POOL, relaxedGoal, 10_000, System.nanoTime());
        assertThat(chosen(TIGHT_GOAL)).hasSize(RUNNERS);
        assertThat(chosen(relaxedGoal)).hasSize(RUNNERS);
        assertThat(state.goals().workToReport()).isEmpty();
    }

    @Test
    void vmThatHasHeardNobodyUsesAllRunners() {
        update(configuration(RELAXED_GOAL, true), true, Set.of(), List.of());
        state.goals().recordSent(POOL, RELAXED_GOAL, 100_000, System.nanoTime());
        state.goals().recordSent(POOL, TIGHT_GOAL, 10_000, System.nanoTime());
        assertThat(chosen(TIGHT_GOAL)).hasSize(RUNNERS);
        assertThat(chosen(RELAXED_GOAL)).hasSize(RUNNERS);
    }

    @ParameterizedTest
    @CsvSource({"3", "4", "6", "7", "8"})
    void promptsAreServedWhileMostRunnersLoadWeights(int loadingRunners) {
        RoutingConfiguration configuration = configuration(RELAXED_GOAL, true);
        updateWithWork(configuration, true);
        Set<String> loading = new HashSet<>();
        for (int index = 0; index < loadingRunners; index++) {
            loading.add("runner-" + index);
        }
        update(configuration, true, loading, List.of());
        Set<String> used = new HashSet<>(chosen(TIGHT_GOAL));
        used.addAll(chosen(RELAXED_GOAL));
        assertThat(used).hasSize(loadingRunners < RUNNERS ? RUNNERS - loadingRunners : RUNNERS);
        if (loadingRunners < RUNNERS) {
            assertThat(used).containsNoneIn(loading);
        }
    }

    @Test
    void runnersOfTheOtherClassAreUsedOnceThoseOfTheSetAreExcluded() {
        updateWithWork(configuration(RELAXED_GOAL, true), true);
        Set<String> tight = chosen(TIGHT_GOAL);
        assertThat(tight).doesNotContain(choose(TIGHT_GOAL, tight).endpoint().entry().id());
    }

    @Test
    void promptsOverflowWhenTheSetIsTooBusyForTheirGoal() {
        updateWithWork(configuration(RELAXED_GOAL, true), true);
        Set<String> tight = chosen(TIGHT_GOAL);
        // 20,000 tokens take 500 ms at the initial estimate of the prefill rate.
        tight.forEach(id -> state.endpoints().find(id).orElseThrow().load().recordSent(20_000));
        String overflowed = choose(TIGHT_GOAL, Set.of()).endpoint().entry().id();
        assertWithMessage("idle runner beside a queue").that(tight).doesNotContain(overflowed);
    }

    @Test
    void ownWorkIsReportedByClass() {
        update(configuration(RELAXED_GOAL, true), true, Set.of(), List.of());
        state.goals().recordSent(POOL, RELAXED_GOAL, 9_190, System.nanoTime());
        state.goals().recordSent(POOL, TIGHT_GOAL, 826, System.nanoTime());
        state.goals().recordSent(POOL, TIGHT_GOAL, 826, System.nanoTime());
        List<String> reported = new ArrayList<>();
        for (PoolWork work : state.goals().workToReport()) {
            reported.add(work.getPool() + " " + work.getRelaxed() + " " + work.getTokens());
        }
        assertThat(reported).containsExactly("pool true 9190", "pool false 1652");
    }
}
