package org.bronzelug.core.capacity;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.bronzelug.core.capacity.ReplayedFleet.Method;
import org.bronzelug.core.capacity.ReplayedFleet.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that are rejected or late because VMs treat endpoints of different and
 * changing speeds as equal, or all send to the same endpoint since they know each other's requests
 * late. Prints the figures of all methods, with VMs, requests per millisecond, fault of one
 * endpoint, method, fraction on time, mean milliseconds, rejections and the longest time in
 * milliseconds for which an endpoint completed no request.
 */
class SpeedReplayTest {
    /** Other seeds than those by which the constants were chosen. */
    private static final long FIRST_SEED = 11;

    private static final int SEEDS = 4;

    /** The usual load and twice that, in requests per millisecond. */
    private static final double[] LOADS = {0.131, 0.25};

    private static Stream<Arguments> fleets() {
        List<Arguments> fleets = new ArrayList<>();
        for (int vms : new int[] {7, 90}) {
            for (double load : LOADS) {
                for (ReplayedEndpoint.Fault fault : ReplayedEndpoint.Fault.values()) {
                    fleets.add(Arguments.of(vms, load, fault));
                }
            }
        }
        return fleets.stream();
    }

    private static Result mean(Method method, int vms, double load, ReplayedEndpoint.Fault fault) {
        double onTime = 0;
        double millis = 0;
        int rejections = 0;
        int unused = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Result result = new ReplayedFleet(method, vms, load, fault, seed).run();
            onTime += result.onTime() / SEEDS;
            millis += result.meanMillis() / SEEDS;
            rejections += result.rejections();
            unused = Math.max(unused, result.longestUnusedMillis());
        }
        Result mean = new Result(onTime, millis, rejections / SEEDS, unused);
        System.out.printf(
                Locale.ROOT,
                "| %d | %.3f | %s | %s | %.3f | %.0f | %d | %d |%n",
                vms,
                load,
                fault,
                method,
                mean.onTime(),
                mean.meanMillis(),
                mean.rejections(),
                mean.longestUnusedMillis());
        return mean;
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void measuredSpeedsServeMoreRequestsInTime(int vms, double load, ReplayedEndpoint.Fault fault) {
        Result present = mean(Method.PRESENT, vms, load, fault);
        mean(Method.SPEED, vms, load, fault);
        Result speed = mean(Method.SPEED_AND_GRADIENT, vms, load, fault);
        mean(Method.SPEED_AND_INCREASE, vms, load, fault);
        Result perfect = mean(Method.PERFECT, vms, load, fault);
        String figures = present + ", " + speed + ", " + perfect;
        assertWithMessage(figures).that(speed.onTime()).isAtLeast(present.onTime());
        assertWithMessage(figures).that(speed.meanMillis()).isAtMost(present.meanMillis());
        assertWithMessage(figures)
                .that(speed.rejections())
                .isLessThan((present.rejections() + perfect.rejections()) / 2);
        assertWithMessage(figures).that(speed.longestUnusedMillis()).isAtMost(2_000);
    }
}
