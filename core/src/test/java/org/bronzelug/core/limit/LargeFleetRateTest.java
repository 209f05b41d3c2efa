package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzelug.core.limit.LargeFleet.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that a large fleet rejects although the team is within its rate, because
 * usage becomes known late, and against more usage than the rate's bound allows.
 */
class LargeFleetRateTest {
    private static final double SLACK = 110_000;
    private static final double MINIMUM_BURST = 68_873;
    private static final int FLOOD_MILLIS = 5_000;
    private static final int FLOOD_END_MILLIS = 11_000;
    private static final int END_MILLIS = 20_000;

    @Property(seed = "41", tries = 40)
    void excessUsesAtMostHalfOfTheSlack(
            @ForAll @IntRange(min = 14, max = 89) int vms,
            @ForAll @IntRange(min = 8, max = 89) int callerVms,
            @ForAll @IntRange(min = 29, max = 500) int thousandsPerSecond,
            @ForAll @IntRange(min = 44, max = 75) int excessTenths,
            @ForAll @IntRange(min = 4, max = 8) int floodSeconds,
            @ForAll long seed) {
        double rate = thousandsPerSecond * 1_000.0;
        LargeFleet fleet = fleet(vms, callerVms, rate, SLACK, seed);
        fleet.run(FLOOD_MILLIS, rate / 1.8);
        fleet.run(FLOOD_MILLIS + floodSeconds * 1_000L, rate / 1.8 * excessTenths / 10);
        fleet.run(END_MILLIS, rate / 1.8);
        assertThat(fleet.maximumExcess()).isAtMost(SLACK / 2);
    }

    @Property(seed = "42", tries = 20)
    void restartsOfVmsInAFloodStayWithinTheBound(
            @ForAll @IntRange(min = 14, max = 89) int vms,
            @ForAll @IntRange(min = 29, max = 500) int thousandsPerSecond,
            @ForAll long seed) {
        double rate = thousandsPerSecond * 1_000.0;
        Random random = new Random(seed);
        LargeFleet fleet = fleet(vms, vms, rate, SLACK, seed);
        fleet.run(FLOOD_MILLIS, rate / 1.8);
        for (int millis = FLOOD_MILLIS; millis < FLOOD_END_MILLIS; millis += 1_500) {
            fleet.run(millis, rate / 1.8 * 6.6);
            fleet.restart(random.nextInt(vms));
        }
        fleet.run(END_MILLIS, rate / 1.8);
        assertThat(fleet.maximumExcess()).isAtMost(SLACK);
    }

    /** The fleet admits what one central bucket admits in a flood, and rejects less wrongly. */
    @ParameterizedTest
    @CsvSource({
        "16, 16, 29000",
        "16, 16, 249177",
        "16, 16, 500000",
        "89, 8, 29000",
        "89, 8, 249177",
        "89, 40, 100000",
        "89, 89, 29000",
        "89, 89, 249177",
        "89, 89, 500000",
    })
    void floodOfOneTeamIsAdmittedAsByOneCentralBucket(int vms, int callerVms, double rate) {
        LargeFleet fleet = fleet(vms, callerVms, rate, SLACK, 7);
        LargeFleet withoutSlack = fleet(vms, callerVms, rate, 0, 7);
        LargeFleet central = fleet(1, 1, rate, 0, 7);
        long admitted = floodTokens(fleet, rate);
        long admittedWithoutSlack = floodTokens(withoutSlack, rate);
        long admittedCentrally = floodTokens(central, rate);
        System.out.printf(
                "vms=%d callers=%d rate=%.0f tokens=%d,%d,%d wrong=%d,%d rejected=%d,%d"
                        + " excess=%.0f,%.0f messages=%d,%d served=%s,%s,%s%n",
                vms,
                callerVms,
                rate,
                admitted,
                admittedWithoutSlack,
                admittedCentrally,
                fleet.wrongRejections(),
                withoutSlack.wrongRejections(),
                fleet.rejections(),
                withoutSlack.rejections(),
                fleet.maximumExcess(),
                withoutSlack.maximumExcess(),
                fleet.messages(),
                withoutSlack.messages(),
                served(fleet),
                served(withoutSlack),
                served(central));
        assertThat(admitted).isAtLeast((long) (0.97 * admittedCentrally));
        assertThat(fleet.wrongRejections()).isAtMost(fleet.rejections() / 4);
        assertThat(fleet.rejections()).isLessThan(withoutSlack.rejections());
        for (Kind kind : Kind.values()) {
            assertThat(fleet.served(kind)).isAtLeast((long) (0.7 * withoutSlack.served(kind)));
        }
    }

    private static String served(LargeFleet fleet) {
        return fleet.served(Kind.LARGE)
                + "/"
                + fleet.served(Kind.SHORT)
                + "/"
                + fleet.served(Kind.PLAIN);
    }

    /** A team within its rate is not rejected while the fleet starts or one VM is replaced. */
    @ParameterizedTest
    @CsvSource({"29000", "100000", "500000"})
    void teamWithinItsRateIsHardlyRejected(double rate) {
        LargeFleet fleet = fleet(89, 89, rate, SLACK, 7);
        fleet.run(FLOOD_MILLIS, rate / 1.8);
        fleet.restart(3);
        fleet.run(END_MILLIS, rate / 1.8);
        assertThat(fleet.wrongRejections()).isAtMost(fleet.admittedRequests() / 500);
    }

    private static LargeFleet fleet(int vms, int callerVms, double rate, double slack, long seed) {
        double burst = Math.max(rate, MINIMUM_BURST);
        return new LargeFleet(vms, callerVms, rate, burst, slack, seed);
    }

    private static long floodTokens(LargeFleet fleet, double rate) {
        fleet.run(FLOOD_MILLIS, rate / 1.8);
        long before = fleet.admittedTokens();
        fleet.run(FLOOD_END_MILLIS, rate / 1.8 * 6.6);
        long tokens = fleet.admittedTokens() - before;
        fleet.run(END_MILLIS, rate / 1.8);
        return tokens;
    }
}
