package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.RequestedBackoff;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against state that is forgotten while an endpoint's entry is missing from the list, or
 * carried over to another start of the endpoint.
 */
class EndpointTableTest {
    private static final EndpointResponse LEAVING =
            new EndpointResponse(
                    200,
                    Optional.empty(),
                    Optional.empty(),
                    true,
                    false,
                    Optional.empty(),
                    new AdvertisedLimit.None(),
                    new AdvertisedLimit.None(),
                    new RequestedBackoff.None(),
                    true,
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    true);

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointTable table = new EndpointTable(group.next(), new NoWireFormat());

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static EndpointEntry entry(String id, String address, long bornMillis) {
        return new EndpointEntry(
                id, "pool", address, "zone", "v1", 6, false, bornMillis, Map.of("m", 1L));
    }

    private void list(EndpointEntry... entries) {
        Map<String, EndpointEntry> listed = new HashMap<>();
        for (EndpointEntry entry : entries) {
            listed.put(entry.id(), entry);
        }
        table.update(
                new TrafficUpdate(
                        Optional.empty(),
                        listed,
                        true,
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        Set.of(),
                        Map.of(),
                        1,
                        1,
                        List.of(),
                        450_000_000L,
                        Set.of()));
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1:9, 1, true", "127.0.0.1:9, 2, false", "127.0.0.1:8, 1, false"})
    void onlyTheSameStartOfAnEndpointGetsItsStateBack(
            String address, long bornMillis, boolean same) {
        list(entry("a", "127.0.0.1:9", 1));
        EndpointState before = table.find("a").get();
        list();
        assertThat(table.find("a")).isEmpty();
        list(entry("a", address, bornMillis));
        assertThat(table.find("a").get() == before).isEqualTo(same);
    }

    /** The same id with another start is an endpoint that has come back. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 1"})
    void onlyANewStartOfALeavingEndpointAcceptsRequests(long bornMillis, int accepting) {
        list(entry("a", "127.0.0.1:9", 1));
        table.find("a").get().recordResponse(LEAVING);
        assertThat(table.acceptingRequests("pool")).isEmpty();
        list();
        list(entry("a", "127.0.0.1:9", bornMillis));
        assertThat(table.acceptingRequests("pool")).hasSize(accepting);
    }

    /** The list may show a restart and then, read from a stale source, the former start again. */
    @Test
    void theFormerStartGetsItsOwnStateBackAfterARestart() {
        list(entry("a", "127.0.0.1:9", 1));
        EndpointState former = table.find("a").get();
        list(entry("a", "127.0.0.1:9", 2));
        assertThat(table.find("a").get()).isNotSameInstanceAs(former);
        list(entry("a", "127.0.0.1:9", 1));
        assertThat(table.find("a").get()).isSameInstanceAs(former);
    }

    /** An installation whose endpoints are replaced all day must not fill the VM's memory. */
    @Test
    void onlyABoundedNumberOfStatesIsKept() {
        list(entry("a", "127.0.0.1:9", 1));
        EndpointState before = table.find("a").get();
        for (int start = 2; start < RemovedEndpoints.MAXIMUM_STATES + 3; start++) {
            list(entry("a", "127.0.0.1:9", start));
        }
        list(entry("a", "127.0.0.1:9", 1));
        assertThat(table.find("a").get()).isNotSameInstanceAs(before);
    }
}
