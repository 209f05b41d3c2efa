package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.limit.RequestedBackoff;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.endpoint.VmPaths;
import org.bronzelug.router.relay.RelayTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that wait for an endpoint without power, against repeated rejections by a
 * runner whose weights differ from the estimate, and against wrong or unknown request limits.
 */
class EndpointStateTest {
    private static final long MILLI = 1_000_000L;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointState state = state(entry(1));

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static EndpointEntry entry(long version) {
        return new EndpointEntry(
                "a", "pool", "127.0.0.1:9", "zone", "v1", 6, false, 1, Map.of("m", version));
    }

    private EndpointState state(EndpointEntry entry) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
        return new EndpointState(
                entry,
                new EndpointConnections(
                        group.next(),
                        address,
                        new NoWireFormat(),
                        new RelayTarget("a", 1),
                        new VmPaths(group.next())),
                new PrefillRate(),
                new AdaptivePools(false));
    }

    /** Guards against memory and state updates that grow with each model that callers name. */
    @Test
    void fewModelsAreRecordedThatTheEntryDoesNotName() {
        for (int number = 0; number < 1_000; number++) {
            state.recordWeights("other-" + number, 2);
        }
        state.recordWeights("m", 7);
        assertThat(state.weights("m")).isEqualTo(7);
        assertThat(state.weights("other-0")).isEqualTo(2);
        assertThat(state.weightsAheadOfEntry().size()).isAtMost(65);
    }

    @ParameterizedTest
    @CsvSource({
        "nothing is due, false, -1, 5000, false",
        "just sent, true, -1, 800, false",
        "nothing came, true, -1, 1000, true",
        "something came, true, 700, 1000, false",
        "nothing more came, true, 700, 1700, true",
    })
    void anEndpointThatIsSilentWithRequestsInFlightIsSuspect(
            String name, boolean sent, long activityMillis, long nowMillis, boolean suspect) {
        if (sent) {
            state.begin(drainable(() -> {}), 0);
        }
        if (activityMillis >= 0) {
            state.recordActivity(activityMillis * MILLI);
        }
        assertThat(state.isSuspect(nowMillis * MILLI)).isEqualTo(suspect);
    }

    /**
     * An engine sends nothing while it prefills a single long prompt. With a fixed limit the runner
     * would be taken for dead, and its other requests would be moved to other runners.
     */
    @ParameterizedTest
    @CsvSource({"40000, 1900, false", "40000, 2100, true", "1000, 1000, true"})
    void aRunnerMayBeSilentWhileItPrefillsALongPrompt(int tokens, long nowMillis, boolean suspect) {
        state.begin(drainable(() -> {}), 0);
        state.load().recordSent(tokens);
        assertThat(state.isSuspect(nowMillis * MILLI)).isEqualTo(suspect);
    }

    @ParameterizedTest
    @CsvSource({"100, 1, true", "500, 1, false", "100, 2, false"})
    void aRunnerWithUnknownWeightsIsExpectedToRejectUntilTheyAreKnown(
            long nowMillis, long versionNow, boolean expected) {
        state.markWeightsUnknown(0);
        state.update(entry(versionNow), PeerEndpointUsage.NONE, false);
        assertThat(state.isExpectedToReject(nowMillis * MILLI)).isEqualTo(expected);
    }

    private static EndpointResponse response(AdvertisedLimit limit, boolean genuine) {
        return response(200, limit, genuine, new RequestedBackoff.None());
    }

    private static EndpointResponse response(
            int status, AdvertisedLimit limit, boolean genuine, RequestedBackoff backoff) {
        return new EndpointResponse(
                status,
                Optional.empty(),
                Optional.empty(),
                genuine,
                false,
                Optional.empty(),
                limit,
                new AdvertisedLimit.None(),
                backoff,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                true);
    }

    /**
     * A response that the endpoint did not stamp, or one with a malformed limit, must neither set a
     * limit nor end the one in force.
     */
    @Test
    void onlyGenuineResponsesWithAValidLimitChangeTheLimit() {
        state.recordResponse(response(new AdvertisedLimit.Rate(2), false));
        assertThat(state.limit()).isEmpty();
        state.recordResponse(response(new AdvertisedLimit.Rate(2), true));
        assertThat(state.limit().get().limit()).isEqualTo(new AdvertisedLimit.Rate(2));
        state.recordResponse(response(new AdvertisedLimit.None(), false));
        state.recordResponse(response(new AdvertisedLimit.Malformed("x"), true));
        assertThat(state.limit().get().isAdvertised()).isTrue();
        state.recordResponse(response(new AdvertisedLimit.None(), true));
        assertThat(state.limit().get().isAdvertised()).isFalse();
    }

    private static EndpointResponse response(
            int status, boolean genuine, RequestedBackoff backoff) {
        return response(status, new AdvertisedLimit.None(), genuine, backoff);
    }

    /** A proxy's 503, or the Retry-After header of another status, excludes no endpoint. */
    @ParameterizedTest
    @CsvSource({
        "503, true, 0, true",
        "503, true, 9000, false",
        "503, false, 9000, true",
        "429, true, 9000, true",
        "200, true, 9000, true",
    })
    void onlyTheEndpointsOwn503StartsABackoff(
            int status, boolean genuine, long millis, boolean available) {
        state.recordResponse(response(status, genuine, new RequestedBackoff.Delay(millis)));
        assertThat(state.isAvailable(System.nanoTime())).isEqualTo(available);
    }

    private static EndpointResponse leavingResponse(int status, boolean genuine, boolean rejected) {
        return new EndpointResponse(
                status,
                Optional.empty(),
                Optional.empty(),
                genuine,
                rejected,
                Optional.empty(),
                new AdvertisedLimit.None(),
                new AdvertisedLimit.None(),
                new RequestedBackoff.None(),
                true,
                OptionalLong.empty(),
                OptionalLong.empty(),
                true);
    }

    /** Another program at the endpoint's address must not take the endpoint out of use. */
    @ParameterizedTest
    @CsvSource({
        "200, true, false, true",
        "503, false, true, true",
        "421, true, false, true",
        "200, false, false, false",
        "502, false, false, false",
    })
    void onlyTheEndpointsOwnResponsesStateThatItLeaves(
            int status, boolean genuine, boolean rejected, boolean leaving) {
        state.recordResponse(leavingResponse(status, genuine, rejected));
        assertThat(state.isLeaving()).isEqualTo(leaving);
        assertThat(state.isAvailable(System.nanoTime())).isEqualTo(!leaving);
    }

    /** Neither a later response nor the entry, which lags, brings the endpoint back. */
    @Test
    void anEndpointThatLeavesDoesNotAcceptRequestsAgain() {
        state.recordResponse(leavingResponse(200, true, false));
        state.recordResponse(response(200, true, new RequestedBackoff.None()));
        state.update(entry(2), PeerEndpointUsage.NONE, false);
        assertThat(state.isLeaving()).isTrue();
    }

    /** Neither a good response nor a malformed or missing delay ends a backoff. */
    @Test
    void laterResponsesDoNotEndABackoff() {
        state.recordResponse(response(503, true, new RequestedBackoff.Delay(9_000)));
        state.recordResponse(response(200, true, new RequestedBackoff.None()));
        state.recordResponse(response(503, true, new RequestedBackoff.Malformed("soon")));
        state.recordResponse(response(503, true, new RequestedBackoff.None()));
        state.recordResponse(response(503, true, new RequestedBackoff.Delay(0)));
        assertThat(state.isAvailable(System.nanoTime())).isFalse();
        assertThat(state.unavailableNanos(System.nanoTime() + 9_000 * MILLI)).isEqualTo(0);
    }

    /**
     * A VM that has received no recent response of the endpoint would exceed its limit, although
     * the VM's peers know the limit.
     */
    @Test
    void aPeersReportSetsTheLimitAndItsUsageCounts() {
        long nowNanos = System.nanoTime();
        EndpointLimit.Usage usage = new EndpointLimit.Usage(5_000, 5_000, -3_000);
        state.recordPeerLimit(
                new PeerLimitUsage(
                        "vm-2", "one", "a", 1, new AdvertisedLimit.Rate(2), nowNanos, usage),
                nowNanos);
        assertThat(state.limit().get().isAdvertised()).isTrue();
        assertThat(state.limit().get().level(nowNanos)).isWithin(0.1).of(-3);
    }

    @Test
    void requestsInFlightAreNotifiedOnceWhenLoadingIsOrdered() {
        List<String> notified = new ArrayList<>();
        state.begin(drainable(() -> notified.add("r1")), 0);
        assertThat(state.update(entry(1), PeerEndpointUsage.NONE, true)).isTrue();
        state.drain();
        assertThat(state.update(entry(1), PeerEndpointUsage.NONE, true)).isFalse();
        assertThat(notified).containsExactly("r1");
    }

    private static EndpointState.RequestListener drainable(Runnable onDrain) {
        return new EndpointState.RequestListener() {
            @Override
            public void onPartsQuarantined() {
                // Not of interest here.
            }

            @Override
            public void onDrain() {
                onDrain.run();
            }

            @Override
            public void onWeightsExpired() {
                throw new AssertionError("the endpoint has no weights");
            }
        };
    }
}
