package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.bronzelug.core.capacity.SpeedReports;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.RequestedBackoff;
import org.bronzelug.core.placement.LeastLoad;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointLoad;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.exchange.PromptSpec;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against placement that changes in pools whose endpoints do not report how long work takes,
 * and against placement in the other pools that ignores the measured speed or the reported load.
 */
class SpeedPlacementTest {
    private static final int ENDPOINTS = 5;
    private static final int SLOTS = 6;
    private static final String MODEL = "model";
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 1, 3_000, 8_000, 8_000, 2_000, 0);
    private static final OptionalInt NOT_REPORTED = OptionalInt.empty();

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private TrafficState state() {
        return new TrafficState(
                traffic,
                new NoWireFormat(),
                BOUNDS,
                new RouterMetrics(),
                "zone-0",
                true,
                LoadSettings.none());
    }

    private static EndpointEntry entry(int index) {
        return new EndpointEntry(
                "e" + index,
                "pool",
                "127.0.0.1:9",
                "zone-" + index % 2,
                "v1",
                SLOTS,
                false,
                1,
                Map.of(MODEL, 1L));
    }

    private static TrafficUpdate update(List<PeerEndpointUsage> usage) {
        Map<String, EndpointEntry> endpoints = new HashMap<>();
        Map<String, PeerEndpointUsage> usageById = new HashMap<>();
        for (int index = 0; index < ENDPOINTS; index++) {
            endpoints.put("e" + index, entry(index));
            usageById.put("e" + index, usage.get(index));
        }
        return new TrafficUpdate(
                Optional.empty(),
                endpoints,
                true,
                Map.of(),
                usageById,
                List.of(),
                List.of(),
                List.of(),
                Set.of(),
                Map.of(),
                1,
                90,
                List.of(),
                450_000_000L,
                Set.of());
    }

    private static EndpointResponse response(int running, OptionalInt workPercent) {
        return new EndpointResponse(
                200,
                Optional.empty(),
                Optional.empty(),
                true,
                false,
                Optional.of(new EndpointLoad(running, 0, SLOTS, workPercent)),
                new AdvertisedLimit.None(),
                new AdvertisedLimit.None(),
                new RequestedBackoff.None(),
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                true);
    }

    private static String choose(TrafficState state, long nowNanos) {
        return state.choice()
                .leastLoadedEndpoint("pool", id -> true, nowNanos)
                .orElseThrow()
                .entry()
                .id();
    }

    /** Most of the prompt is its own part: a cached prefix may outweigh that a runner is slow. */
    private static RunnerChoice choosePrompt(TrafficState state, int prompt, long nowNanos) {
        List<PromptPart> parts =
                List.of(new PromptPart("s" + prompt, 600), new PromptPart("o" + prompt, 3_000));
        PromptSpec spec = new PromptSpec(MODEL, 3_600, 30, parts);
        return state.choice()
                .chooseRunner("pool", spec, 600, "", id -> true, nowNanos)
                .orElseThrow();
    }

    /** Measures the endpoints in all ways that are not the fourth load value. */
    private static void measure(TrafficState state, Random random) {
        for (int index = 0; index < ENDPOINTS; index++) {
            EndpointState endpoint = state.endpoints().find("e" + index).orElseThrow();
            endpoint.recordResponse(response(random.nextInt(SLOTS), NOT_REPORTED));
            long elapsedNanos = 1 + random.nextInt(400_000_000);
            state.speedSamples().recordResponse(endpoint, "route", elapsedNanos, System.nanoTime());
            state.choice().speeds().recordEnded("pool", elapsedNanos, System.nanoTime());
        }
    }

    private void placeWithoutFourthValue(long seed) {
        Random random = new Random(seed);
        TrafficState plain = state();
        TrafficState measured = state();
        List<PeerEndpointUsage> usage = new ArrayList<>();
        List<PeerEndpointUsage> usageWithSpeeds = new ArrayList<>();
        List<LeastLoad.Candidate> candidates = new ArrayList<>();
        long nowNanos = System.nanoTime();
        for (int index = 0; index < ENDPOINTS; index++) {
            int requests = random.nextInt(SLOTS + 2);
            int tokens = random.nextInt(20_000);
            SpeedReports speeds = SpeedReports.of(10 + random.nextInt(300), nowNanos, nowNanos);
            usage.add(new PeerEndpointUsage(tokens, requests));
            usageWithSpeeds.add(new PeerEndpointUsage(tokens, requests, speeds));
            candidates.add(
                    new LeastLoad.Candidate("e" + index, index % 2 == 0, false, requests, SLOTS));
        }
        plain.apply(update(usage));
        measured.apply(update(usageWithSpeeds));
        measure(measured, random);
        for (int prompt = 0; prompt < 20; prompt++) {
            assertThat(choose(measured, nowNanos))
                    .isEqualTo(LeastLoad.choose(candidates).orElseThrow().endpoint());
            RunnerChoice expected = choosePrompt(plain, prompt, nowNanos);
            RunnerChoice actual = choosePrompt(measured, prompt, nowNanos);
            assertThat(actual.placement()).isEqualTo(expected.placement());
            assertThat(actual.queuedTokens()).isEqualTo(expected.queuedTokens());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void withoutTheFourthValuePlacementIsAsBefore(long seed) throws Exception {
        traffic.submit(() -> placeWithoutFourthValue(seed)).get();
    }

    private TrafficState adaptiveState(int... percentages) {
        TrafficState state = state();
        state.apply(
                update(
                        List.of(
                                PeerEndpointUsage.NONE,
                                PeerEndpointUsage.NONE,
                                PeerEndpointUsage.NONE,
                                PeerEndpointUsage.NONE,
                                PeerEndpointUsage.NONE)));
        for (int index = 0; index < ENDPOINTS; index++) {
            EndpointState endpoint = state.endpoints().find("e" + index).orElseThrow();
            endpoint.recordResponse(response(0, OptionalInt.of(percentages[index])));
        }
        return state;
    }

    /** The share of an endpoint whose work takes five times as long must be small, not zero. */
    @Test
    void aSlowedEndpointGetsFewerRequests() throws Exception {
        traffic.submit(
                        () -> {
                            TrafficState state = adaptiveState(500, 100, 100, 100, 100);
                            long nowNanos = System.nanoTime();
                            int slow = 0;
                            for (int request = 0; request < 300; request++) {
                                slow += choose(state, nowNanos).equals("e0") ? 1 : 0;
                            }
                            assertThat(slow).isLessThan(30);
                        })
                .get();
    }
}
