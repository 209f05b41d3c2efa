package org.bronzelug.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint that was slow once and gets no request any more, and against many VMs
 * that all send to it at the same time to measure it.
 */
class RemeasurementTest {
    private static final long MILLI = 1_000_000L;
    private static final int KNOWN_MILLIS = 500;
    private static final int RUN_MILLIS = 120_000;
    private static final double DURATION_MILLIS = 71;

    /** The requests of all VMs, which know the newest sample half a second late. */
    @ParameterizedTest
    @CsvSource({"10", "131", "900"})
    void aSlowEndpointIsMeasuredWithinTwoSecondsByFewRequests(int requestsPerSecond) {
        Random random = new Random(1);
        double inFlight = requestsPerSecond * DURATION_MILLIS / 1_000;
        double probability = Remeasurement.probability(inFlight, DURATION_MILLIS * MILLI);
        int measured = 0;
        int knownSample = 0;
        int lastMillis = 0;
        int longestMillis = 0;
        int[] measuredAt = new int[RUN_MILLIS];
        for (int now = 0; now < RUN_MILLIS; now++) {
            if (now >= KNOWN_MILLIS && measuredAt[now - KNOWN_MILLIS] > 0) {
                knownSample = now - KNOWN_MILLIS;
            }
            EndpointSpeed speed = new EndpointSpeed();
            speed.setPeers(SpeedReports.of(10, knownSample * MILLI, now * MILLI), now * MILLI);
            boolean arrives = random.nextDouble() < requestsPerSecond / 1_000.0;
            if (arrives
                    && Remeasurement.isDue(speed, probability, random.nextDouble(), now * MILLI)) {
                measuredAt[now] = 1;
                measured++;
                longestMillis = Math.max(longestMillis, now - lastMillis);
                lastMillis = now;
            }
        }
        assertThat(longestMillis).isAtMost(2_000);
        assertThat(measured).isAtMost(RUN_MILLIS / 1_000 * 5);
    }
}
