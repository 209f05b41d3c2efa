package org.bronzelug.core.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against one team's flood delaying the requests of other teams. If requests were served in
 * order of arrival, and one team filled the queue before another sent a request, this request would
 * wait behind hundreds of the first team's.
 */
class FairQueueTest {
    @Property(seed = "7701")
    void quietTeamWaitsForAtMostOneRequestOfAnotherTeam(
            @ForAll @IntRange(min = 1, max = 200) int flood,
            @ForAll @IntRange(min = 0, max = 50) int servedBefore) {
        FairQueue<String> queue = new FairQueue<>(1_000);
        for (int index = 0; index < flood; index++) {
            queue.offer("flood", "f" + index, 10);
        }
        for (int index = 0; index < servedBefore; index++) {
            queue.poll();
        }
        queue.offer("quiet", "q", 10);
        List<String> order = new ArrayList<>();
        for (Optional<String> next = queue.poll(); next.isPresent(); next = queue.poll()) {
            order.add(next.get());
        }
        assertThat(order.indexOf("q")).isAtMost(1);
    }

    @Property(seed = "7702")
    void backloggedTeamsGetEqualWork(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<String> queue = new FairQueue<>(10_000);
        Map<String, Double> served = new HashMap<>();
        Map<String, Double> workOf = new HashMap<>();
        for (int index = 0; index < 900; index++) {
            String team = "t" + index % 3;
            double work = 1 + random.nextInt(20);
            workOf.put(team + "/" + index, work);
            queue.offer(team, team + "/" + index, work);
        }
        for (int index = 0; index < 300; index++) {
            String next = queue.poll().orElseThrow();
            served.merge(next.substring(0, 2), workOf.get(next), Double::sum);
        }
        double maximum = served.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double minimum = served.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
        assertThat(maximum - minimum).isAtMost(20.0);
    }

    @Test
    void fullQueueDropsTheNewestRequestOfTheLongestBacklog() {
        FairQueue<Integer> queue = new FairQueue<>(3);
        for (int index = 0; index < 3; index++) {
            assertThat(queue.offer("flood", index, 1)).isEqualTo(Optional.empty());
        }
        assertThat(queue.offer("flood", 3, 1)).isEqualTo(Optional.of(3));
        assertThat(queue.offer("quiet", 4, 1)).isEqualTo(Optional.of(2));
        assertThat(queue.size()).isEqualTo(3);
    }

    /**
     * Without the bound, a VM runs out of memory when many teams flood it at once, each with a
     * backlog shorter than the longest. Every offered request must be served or dropped exactly
     * once.
     */
    @Property(seed = "7703")
    void neverExceedsItsCapacityAndLosesNoRequest(@ForAll long seed) {
        Random random = new Random(seed);
        int capacity = 1 + random.nextInt(20);
        FairQueue<Integer> queue = new FairQueue<>(capacity);
        List<Integer> removed = new ArrayList<>();
        for (int item = 0; item < 200; item++) {
            queue.offer("team-" + random.nextInt(8), item, 1 + random.nextInt(9))
                    .ifPresent(removed::add);
            if (random.nextInt(4) == 0) {
                queue.poll().ifPresent(removed::add);
            }
            assertThat(queue.size()).isAtMost(capacity);
        }
        for (Optional<Integer> next = queue.poll(); next.isPresent(); next = queue.poll()) {
            removed.add(next.get());
        }
        assertThat(removed).containsNoDuplicates();
        assertThat(removed).hasSize(200);
    }

    @Test
    void removedRequestLeavesTheQueue() {
        FairQueue<String> queue = new FairQueue<>(3);
        queue.offer("team", "one", 1);
        assertThat(queue.remove("team", "one")).isTrue();
        assertThat(queue.remove("team", "one")).isFalse();
        assertThat(queue.poll()).isEqualTo(Optional.empty());
        assertThat(queue.size()).isEqualTo(0);
    }
}
