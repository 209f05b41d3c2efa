package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.exchange.PromptSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a rollout of weights under load that sends all prompts to the few runners with the
 * newest weights: they queue there while the other runners are idle.
 */
class ReplacedWeightsPlacementTest {
    private static final String MODEL = "m";
    private static final int SLOTS = 32;
    private static final long BOUND_NANOS = 20_000_000_000L;
    private static final long REPLACED_NANOS = 5_000_000_000L;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = group.next();
    private final EndpointTable table = new EndpointTable(traffic, new NoWireFormat());
    private final WeightsAges ages = new WeightsAges(BOUND_NANOS);
    private final EndpointChoice choice = new EndpointChoice(table, "z", ages);

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static EndpointEntry entry(String id, long weights) {
        return new EndpointEntry(
                id, "pool", "127.0.0.1:9", "z", "v1", SLOTS, false, 1, Map.of(MODEL, weights));
    }

    /** The runner "new" has the newest weights and the given load of other VMs; "old" is idle. */
    private void update(int queuedTokens, int requests, boolean adaptive) {
        Map<String, EndpointEntry> endpoints = new HashMap<>();
        endpoints.put("new", entry("new", 2));
        endpoints.put("old", entry("old", 1));
        table.update(
                new TrafficUpdate(
                        Optional.empty(),
                        endpoints,
                        true,
                        Map.of(),
                        Map.of("new", new PeerEndpointUsage(queuedTokens, requests)),
                        List.of(),
                        List.of(),
                        List.of(),
                        Set.of(),
                        Map.of(),
                        1,
                        1,
                        List.of(),
                        0,
                        adaptive ? Set.of("pool") : Set.of()));
        ages.update(
                Map.of(MODEL, WeightsTarget.first(MODEL, 2, System.nanoTime() - REPLACED_NANOS)));
    }

    /** At 25 microseconds a token, 4,000 tokens take 100 ms, 12,000 take 300 ms. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 257, true, new",
        "1000, 3, 257, true, new",
        "4000, 8, 257, true, old",
        "4000, 8, 1015, true, new",
        "12000, 8, 1015, true, old",
        "0, 40, 257, true, old",
        "4000, 8, 257, false, new",
        "12000, 40, 257, false, new",
    })
    void promptsPreferNewestWeightsOnlyWithinAFractionOfTheirGoal(
            int queuedTokens, int requests, long goalMillis, boolean adaptive, String expected)
            throws Exception {
        String chosen =
                traffic.submit(
                                () -> {
                                    update(queuedTokens, requests, adaptive);
                                    return choose(goalMillis);
                                })
                        .get();
        assertThat(chosen).isEqualTo(expected);
    }

    private String choose(long goalMillis) {
        PromptSpec prompt =
                new PromptSpec(
                        MODEL,
                        800,
                        50,
                        List.of(new PromptPart("shared", 200), new PromptPart("own", 600)));
        return choice.chooseRunner(
                        "pool", prompt, goalMillis, "", endpoint -> true, System.nanoTime())
                .orElseThrow()
                .endpoint()
                .entry()
                .id();
    }
}
