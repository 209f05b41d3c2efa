package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against a backoff that ends before the endpoint's time has passed, or never ends. */
class EndpointBackoffTest {
    private static final long MILLI = 1_000_000L;

    /** A response that arrives some time after the previous one and asks for a backoff. */
    record Response(long sinceLastMillis, long backoffMillis) {}

    @Provide
    Arbitrary<List<Response>> responses() {
        Arbitrary<Long> gaps = Arbitraries.longs().between(0, 5_000);
        Arbitrary<Long> backoffs =
                Arbitraries.oneOf(
                        Arbitraries.longs().between(0, 10_000),
                        Arbitraries.longs().between(0, Long.MAX_VALUE));
        return Combinators.combine(gaps, backoffs).as(Response::new).list().ofMaxSize(20);
    }

    /** The clock may start anywhere, near its overflow too. */
    @Property(seed = "41", tries = 200)
    void theBackoffEndsAtTheLatestRequestedEnd(
            @ForAll("responses") List<Response> responses, @ForAll long clockStartNanos) {
        EndpointBackoff backoff = new EndpointBackoff();
        long nowMillis = 0;
        long latestEndMillis = 0;
        for (Response response : responses) {
            nowMillis += response.sinceLastMillis();
            long delay = Math.min(response.backoffMillis(), EndpointBackoff.MAXIMUM_MILLIS);
            boolean later = nowMillis + delay > Math.max(latestEndMillis, nowMillis);
            latestEndMillis = Math.max(latestEndMillis, nowMillis + delay);
            long nowNanos = clockStartNanos + nowMillis * MILLI;
            assertThat(backoff.request(response.backoffMillis(), nowNanos)).isEqualTo(later);
            assertThat(backoff.remainingNanos(nowNanos))
                    .isEqualTo((latestEndMillis - nowMillis) * MILLI);
        }
        long endNanos = clockStartNanos + latestEndMillis * MILLI;
        assertThat(backoff.isActive(endNanos)).isFalse();
        if (latestEndMillis > nowMillis) {
            assertThat(backoff.isActive(endNanos - 1)).isTrue();
        }
    }

    @Test
    void anEndpointThatAskedForNoBackoffAcceptsRequests() {
        assertThat(new EndpointBackoff().isActive(Long.MIN_VALUE)).isFalse();
        assertThat(new EndpointBackoff().isActive(Long.MAX_VALUE)).isFalse();
    }
}
