package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.routing.EndpointEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that are not withdrawn when the weights on which they would begin expire.
 */
class WeightsExpiryTest {
    private static final long BOUND_NANOS = 600_000_000L;
    private static final long LONG_AGO_NANOS = 10 * BOUND_NANOS;
    private static final long TIMEOUT_SECONDS = 10;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = group.next();
    private final EndpointTable table = new EndpointTable(traffic, new NoWireFormat());
    private final WeightsAges ages = new WeightsAges(BOUND_NANOS);
    private final WeightsExpiry expiry = new WeightsExpiry(traffic, table, ages);
    private final BlockingQueue<Long> notifiedNanos = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static TrafficUpdate update(Map<String, EndpointEntry> endpoints) {
        return new TrafficUpdate(
                Optional.empty(),
                endpoints,
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
                0,
                Set.of());
    }

    /** The endpoint has two models; those of one may have expired before those of the other. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void requestsAreNotifiedWhenTheWeightsOfTheirModelExpire(
            boolean otherModelExpired, boolean endpointRemoved) throws Exception {
        Map<String, Long> weights = Map.of("own", 1L, "other", 1L);
        EndpointEntry entry =
                new EndpointEntry("r", "pool", "127.0.0.1:9", "z", "v1", 6, false, 1, weights);
        long publishedNanos = System.nanoTime();
        long otherNanos = publishedNanos - (otherModelExpired ? LONG_AGO_NANOS : 0);
        traffic.submit(
                        () -> {
                            table.update(update(Map.of("r", entry)));
                            table.find("r").orElseThrow().begin(listener(), publishedNanos);
                            table.update(update(endpointRemoved ? Map.of() : Map.of("r", entry)));
                            ages.update(
                                    Map.of(
                                            "own",
                                            WeightsTarget.first("own", 2, publishedNanos),
                                            "other",
                                            WeightsTarget.first("other", 2, otherNanos)));
                            expiry.update();
                        })
                .get();
        if (otherModelExpired) {
            assertThat(notifiedNanos.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        }
        Long nanos = notifiedNanos.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(nanos).isNotNull();
        assertThat(nanos - publishedNanos).isGreaterThan(BOUND_NANOS / 2);
    }

    private EndpointState.RequestListener listener() {
        return new EndpointState.RequestListener() {
            @Override
            public void onPartsQuarantined() {
                // Not of interest here.
            }

            @Override
            public void onDrain() {
                throw new AssertionError("no load was ordered");
            }

            @Override
            public void onWeightsExpired() {
                notifiedNanos.add(System.nanoTime());
            }
        };
    }
}
