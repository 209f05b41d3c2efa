package org.bronzelug.router.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.EngineLimits;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.WeightedPool;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.NoWireFormat;
import org.bronzelug.router.traffic.PeerEndpointUsage;
import org.bronzelug.router.traffic.TrafficState;
import org.bronzelug.router.traffic.TrafficUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a part that crashes runners being sent to where most other requests run. */
class SuspectedPartPlacementTest {
    private static final String MODEL = "model";
    private static final int PROMPTS = 20;
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 1, 3_000, 8_000, 8_000, 2_000, 0);
    private static final EndpointPool POOL =
            new EndpointPool("pool", 100, Optional.of(new EngineLimits(96, 100_000, 262_144)));

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

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static EndpointEntry entry(int index) {
        return new EndpointEntry(
                "runner-" + index,
                POOL.name(),
                "127.0.0.1:9",
                "zone",
                "v1",
                96,
                false,
                1,
                Map.of(MODEL, 1L));
    }

    private static TrafficUpdate update(int... requests) {
        Map<String, EndpointEntry> endpoints = new HashMap<>();
        Map<String, PeerEndpointUsage> usage = new HashMap<>();
        for (int index = 0; index < requests.length; index++) {
            endpoints.put("runner-" + index, entry(index));
            usage.put("runner-" + index, new PeerEndpointUsage(0, requests[index]));
        }
        return new TrafficUpdate(
                Optional.empty(),
                endpoints,
                true,
                Map.of(),
                usage,
                List.of(),
                List.of(),
                List.of(),
                Set.of(),
                Map.of(),
                1,
                1,
                List.of(),
                0,
                Set.of());
    }

    private static AdmittedRequest request(int prompt) {
        List<PromptPart> parts =
                List.of(new PromptPart("shared" + prompt, 500), new PromptPart("own", 100));
        PromptSpec spec = new PromptSpec(MODEL, 600, 30, parts);
        RequestHead head =
                new RequestHead(
                        "r" + prompt,
                        "h",
                        "/a/",
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.of(spec),
                        Optional.empty(),
                        Optional.empty());
        List<WeightedPool> pools = List.of(new WeightedPool(POOL.name(), 1));
        Route route =
                new Route(
                        "a",
                        "h",
                        "/a/",
                        true,
                        RetryPolicy.RESUMABLE,
                        false,
                        10_000,
                        600,
                        0,
                        3,
                        pools);
        return new AdmittedRequest(
                head, route, Optional.empty(), 0, Optional.of(POOL), 1, System.nanoTime());
    }

    private PartGate gate(AdmittedRequest request) {
        return new PartGate(state, request, () -> request.head().id());
    }

    private String choose(AdmittedRequest request) {
        EndpointSelection selection =
                new EndpointSelection(
                        state, request, StreamVersion.unbound(begun -> {}), gate(request));
        return selection.choose(System.nanoTime()).orElseThrow().entry().id();
    }

    /** All prompts had begun at the runner that crashed, so that each is suspected. */
    private void crashUnderAllPrompts(EndpointState crashed) {
        for (int prompt = 0; prompt < PROMPTS; prompt++) {
            WatchedAttempt attempt = gate(request(prompt)).begin(crashed, System.nanoTime());
            attempt.recordWritten();
            attempt.recordHead(System.nanoTime());
            attempt.recordData(System.nanoTime());
        }
        state.poison().recordCrash(crashed.run(), OptionalLong.empty(), System.nanoTime());
    }

    private Set<String> chosenRunners(boolean suspected, int... requests) {
        state.apply(update(requests));
        if (suspected) {
            crashUnderAllPrompts(state.endpoints().find("runner-0").orElseThrow());
        }
        List<String> chosen = new ArrayList<>();
        for (int prompt = 0; prompt < PROMPTS; prompt++) {
            chosen.add(choose(request(prompt)));
        }
        return new HashSet<>(chosen);
    }

    @ParameterizedTest
    @CsvSource({"5, 1, 3, runner-1", "0, 1, 1, runner-0", "9, 8, 2, runner-2"})
    void aSuspectedPartGoesWhereTheFewestRequestsRun(
            int first, int second, int third, String expected) throws Exception {
        Set<String> chosen = traffic.submit(() -> chosenRunners(true, first, second, third)).get();
        assertThat(chosen).containsExactly(expected);
    }

    /** Placement by the prefix must not suffer where nothing is suspected. */
    @ParameterizedTest
    @CsvSource({"5, 1, 3", "9, 8, 2"})
    void otherPartsGoWhereTheirPrefixesAre(int first, int second, int third) throws Exception {
        Set<String> chosen = traffic.submit(() -> chosenRunners(false, first, second, third)).get();
        assertThat(chosen.size()).isGreaterThan(1);
    }
}
