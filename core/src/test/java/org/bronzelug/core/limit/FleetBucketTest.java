package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a team that sends seven times its rate through all VMs and gets more than its
 * rate, so that the callers of other teams wait. This happens if each VM admits the whole rate, not
 * knowing what its peers admit, or if VMs admit too much while their usage is in transit.
 */
class FleetBucketTest {
    private static final long MILLI = 1_000_000L;
    private static final double RATE = 100_000;
    private static final double BURST = 100_000;
    private static final int REQUEST = 9_200;
    private static final long ROUND_MILLIS = 150;
    private static final long WINDOW_MILLIS = 8_000;

    /** Period without a running VM, whose callers all retry at the same moment. */
    private static final int BACKLOG_MILLIS = 1_500;

    /** Maximum usage in a window: a tenth more than rate and burst, plus a fixed slack. */
    private static final double ALLOWED = (RATE * WINDOW_MILLIS / 1_000 + BURST) * 1.1 + 72_000;

    @Property(seed = "12", tries = 60)
    void allVmsTogetherStayWithinTheRateWhileOneTeamFloods(
            @ForAll @IntRange(min = 2, max = 8) int vms,
            @ForAll @IntRange(min = 2, max = 8) int excess,
            @ForAll @IntRange(min = 0, max = 100) int lostPercent,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<FleetBucket> buckets = fleet(vms);
        List<long[]> admitted = new ArrayList<>();
        double perMilli = RATE * excess / 1_000 / REQUEST;
        boolean partitioned = lostPercent > 60;
        for (long millis = 1; millis <= 20_000; millis++) {
            if (random.nextDouble() < perMilli) {
                FleetBucket bucket = buckets.get(random.nextInt(vms));
                if (bucket.tryAcquire(REQUEST, random.nextDouble(), millis * MILLI)) {
                    admitted.add(new long[] {millis, REQUEST});
                }
            }
            if (millis % ROUND_MILLIS == 0) {
                exchange(buckets, millis, partitioned);
            }
        }
        assertThat(maximumInWindow(admitted)).isAtMost(ALLOWED);
    }

    /**
     * All VMs restart while one team exceeds its rate, and its callers retry at the same moment.
     * Each VM may admit a fraction of the burst before it receives its peers' usage. If that usage
     * were not subtracted later, the team would get too much and other teams' callers would wait.
     */
    @Property(seed = "13", tries = 60)
    void restartOfAllVmsInAFloodGivesNoBurstToEachVm(
            @ForAll @IntRange(min = 2, max = 8) int vms,
            @ForAll @IntRange(min = 2, max = 4) int excess,
            @ForAll @IntRange(min = 2_000, max = 9_000) int restartMillis,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<FleetBucket> buckets = fleet(vms);
        List<long[]> admitted = new ArrayList<>();
        double perMilli = RATE * excess / 1_000 / REQUEST;
        for (int millis = 1; millis <= 20_000; millis++) {
            double arrivals = perMilli;
            if (millis == restartMillis) {
                buckets = restarted(vms, millis);
                arrivals = perMilli * BACKLOG_MILLIS;
            }
            for (double left = arrivals; left > 0; left--) {
                FleetBucket bucket = buckets.get(random.nextInt(vms));
                if (random.nextDouble() < left
                        && bucket.tryAcquire(REQUEST, random.nextDouble(), millis * MILLI)) {
                    admitted.add(new long[] {millis, REQUEST});
                }
            }
            if (millis % ROUND_MILLIS == 0) {
                exchange(buckets, millis, false);
            }
        }
        assertThat(maximumInWindow(admitted)).isAtMost(ALLOWED);
    }

    private static List<FleetBucket> restarted(int vms, long millis) {
        List<FleetBucket> buckets = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            buckets.add(new FleetBucket(RATE, BURST, BURST / 5, millis * MILLI));
        }
        return buckets;
    }

    private static List<FleetBucket> fleet(int vms) {
        List<FleetBucket> buckets = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            buckets.add(new FleetBucket(RATE, BURST, BURST, 0));
        }
        exchange(buckets, 0, false);
        return buckets;
    }

    /**
     * Delivers all VMs' usage to all others; in a partitioned fleet, VMs reach none of their peers.
     */
    private static void exchange(List<FleetBucket> buckets, long millis, boolean partitioned) {
        for (FleetBucket receiver : buckets) {
            if (partitioned) {
                receiver.setReachableFraction(1.0 / buckets.size());
                continue;
            }
            for (FleetBucket sender : buckets) {
                if (sender != receiver) {
                    receiver.recordPeer(
                            new PeerBucketUsage(
                                    "vm-" + buckets.indexOf(sender),
                                    "first",
                                    sender.admitted(),
                                    sender.offered(),
                                    sender.level(millis * MILLI),
                                    true),
                            millis * MILLI);
                }
            }
        }
    }

    private static double maximumInWindow(List<long[]> admitted) {
        double maximum = 0;
        for (long[] first : admitted) {
            double sum = 0;
            for (long[] other : admitted) {
                if (other[0] >= first[0] && other[0] < first[0] + WINDOW_MILLIS) {
                    sum += other[1];
                }
            }
            maximum = Math.max(maximum, sum);
        }
        return maximum;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 40_000, 90_000})
    void startingVmAdoptsTheLowerLevelOfAPeer(long level) {
        FleetBucket bucket = new FleetBucket(RATE, BURST, BURST, 0);
        bucket.recordPeer(
                new PeerBucketUsage("vm-2", "first", 1_000_000, 1_000_000, level, false), 0);
        assertThat(bucket.level(0)).isEqualTo((double) level);
    }

    @Test
    void usageOfAPeerThatStartedTogetherIsSubtracted() {
        FleetBucket bucket = new FleetBucket(RATE, BURST, BURST, 0);
        bucket.recordPeer(new PeerBucketUsage("vm-2", "first", 130_000, 130_000, 0, true), 0);
        assertThat(bucket.level(0)).isEqualTo(BURST - 130_000);
    }

    @Test
    void restartedPeerCountsFromZero() {
        FleetBucket bucket = new FleetBucket(RATE, BURST, BURST, 0);
        bucket.recordPeer(new PeerBucketUsage("vm-2", "first", 50_000, 50_000, BURST, false), 0);
        bucket.recordPeer(new PeerBucketUsage("vm-2", "second", 10_000, 10_000, BURST, true), 0);
        bucket.recordPeer(new PeerBucketUsage("vm-2", "second", 10_000, 10_000, BURST, true), 0);
        assertThat(bucket.level(0)).isEqualTo(BURST - 10_000);
    }

    @Test
    void refundReturnsTheTokensOfARequestThatDidNotRun() {
        FleetBucket bucket = new FleetBucket(RATE, BURST, BURST, 0);
        assertThat(bucket.tryAcquire(60_000, 0, 0)).isTrue();
        assertThat(bucket.tryAcquire(60_000, 0, 0)).isFalse();
        bucket.refund(60_000, 0);
        assertThat(bucket.tryAcquire(60_000, 0, 0)).isTrue();
        assertThat(bucket.admitted()).isEqualTo(60_000);
    }
}
