package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against VMs that together make an endpoint reject more than it withstands. */
class RejectionAllowanceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP = 10_000_000L;
    private static final long RESPONSE_STEPS = 2;

    @Test
    void anAcceptedRequestReturnsItsPart() {
        RejectionAllowance allowance = new RejectionAllowance(new Random(1));
        assertThat(allowance.tryTake(2, 1, 0)).isTrue();
        assertThat(allowance.tryTake(2, 1, 1)).isFalse();
        assertThat(allowance.tryTake(2, 1, RejectionAllowance.ACCEPTED_NANOS)).isTrue();
    }

    @Test
    void aRejectionUsesThePartUpForTheWindow() {
        RejectionAllowance allowance = new RejectionAllowance(new Random(1));
        assertThat(allowance.tryTake(2, 1, 0)).isTrue();
        allowance.recordRejection(1);
        long later = RejectionAllowance.ACCEPTED_NANOS + 1;
        assertThat(allowance.tryTake(2, 1, later)).isFalse();
        assertThat(allowance.nanosUntilNextWindow(later)).isEqualTo(SECOND - later);
        assertThat(allowance.tryTake(2, 1, SECOND)).isTrue();
    }

    /**
     * VMs that all want to send all the time, to an endpoint that has room and then none. It falls
     * over when it rejects more than it tolerates in a second.
     */
    @Property
    void anEndpointThatBecomesFullDoesNotFallOver(
            @ForAll @IntRange(min = 1, max = 95) int vms,
            @ForAll @IntRange(min = 4, max = 40) int tolerated,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<RejectionAllowance> allowances = new ArrayList<>();
        Deque<Reply> replies = new ArrayDeque<>();
        Deque<Long> rejections = new ArrayDeque<>();
        for (int vm = 0; vm < vms; vm++) {
            allowances.add(new RejectionAllowance(new Random(random.nextLong())));
        }
        int falls = 0;
        for (long step = 0; step < 2_000; step++) {
            long nowNanos = step * STEP;
            boolean full = step >= 500;
            while (!replies.isEmpty() && replies.peekFirst().step() <= step) {
                allowances.get(replies.pollFirst().vm()).recordRejection(nowNanos);
            }
            for (int vm = 0; vm < vms; vm++) {
                if (allowances.get(vm).tryTake(tolerated, vms, nowNanos) && full) {
                    rejections.addLast(nowNanos);
                    replies.addLast(new Reply(vm, step + RESPONSE_STEPS));
                }
            }
            while (!rejections.isEmpty() && nowNanos - rejections.peekFirst() >= SECOND) {
                rejections.pollFirst();
            }
            if (rejections.size() > tolerated) {
                falls++;
                rejections.clear();
            }
        }
        // The bound on an installation is two falls and a tenth of its endpoints.
        assertWithMessage("falls of one endpoint").that(falls).isAtMost(2);
    }

    private record Reply(int vm, long step) {}
}
