package org.bronzelug.core.admission;

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
 * Guards against a team whose many waiting requests delay those of another team, and against a
 * queue that takes more memory than the VM has for it.
 */
class AdmissionQueueTest {
    private static final int REQUESTS = 64;
    private static final long BYTES = 1L << 20;
    private static final int LONG = 9_199;
    private static final int SHORT = 875;

    private final AdmissionCapacity capacity = new AdmissionCapacity(REQUESTS, BYTES);
    private final AdmissionQueue<String> queue = new AdmissionQueue<>(capacity);

    private static WaitingEntry<String> entry(String team, int urgency, long work, long bytes) {
        return new WaitingEntry<>(team + work, team, urgency, work, bytes, Long.MAX_VALUE, 0);
    }

    private List<WaitingEntry<String>> takeAll() {
        List<WaitingEntry<String>> taken = new ArrayList<>();
        Optional<WaitingEntry<String>> next = queue.next(entry -> true);
        while (next.isPresent()) {
            queue.take(next.get());
            taken.add(next.get());
            next = queue.next(entry -> true);
        }
        return taken;
    }

    @Test
    void urgentRequestsAreFirst() {
        queue.offer(entry("a", 3, LONG, 1));
        queue.offer(entry("b", 1, SHORT, 1));
        assertThat(takeAll().stream().map(WaitingEntry::team)).containsExactly("b", "a").inOrder();
    }

    /** A team's turn is over after its tokens of the round, whatever the size of its requests. */
    @Property(seed = "4713")
    void teamsThatWaitGetAboutTheSameTokens(
            @ForAll @IntRange(min = 2, max = 30) int longPrompts,
            @ForAll @IntRange(min = 2, max = 30) int shortPrompts) {
        AdmissionQueueTest test = new AdmissionQueueTest();
        for (int index = 0; index < longPrompts; index++) {
            test.queue.offer(entry("long", 1, LONG, 1));
        }
        for (int index = 0; index < shortPrompts; index++) {
            test.queue.offer(entry("short", 1, SHORT, 1));
        }
        Map<String, Long> got = new HashMap<>();
        int left = shortPrompts;
        for (WaitingEntry<String> taken : test.takeAll()) {
            got.merge(taken.team(), taken.work(), Long::sum);
            left -= taken.team().equals("short") ? 1 : 0;
            if (left > 0) {
                long difference = got.getOrDefault("long", 0L) - got.getOrDefault("short", 0L);
                assertThat(Math.abs(difference)).isAtMost(LONG + 2 * AdmissionQueue.QUANTUM);
            }
        }
        assertThat(test.capacity.requests()).isEqualTo(0);
        assertThat(test.capacity.bytes()).isEqualTo(0);
    }

    @Test
    void theNewestRequestOfTheLargestTeamIsDroppedIfTheQueueIsFull() {
        for (int index = 0; index < REQUESTS; index++) {
            queue.offer(entry("large", 1, LONG + index, 1));
        }
        List<WaitingEntry<String>> dropped = queue.offer(entry("small", 1, SHORT, 1));
        assertThat(dropped.stream().map(WaitingEntry::work)).containsExactly(LONG + REQUESTS - 1L);
        WaitingEntry<String> more = entry("large", 1, LONG, 1);
        assertThat(queue.offer(more)).containsExactly(more);
    }

    @Property(seed = "4714")
    void theQueueTakesNoMoreThanItsCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionQueueTest test = new AdmissionQueueTest();
        for (int index = 0; index < 300; index++) {
            String team = "team" + random.nextInt(5);
            test.queue.offer(
                    entry(
                            team,
                            random.nextInt(3),
                            1 + random.nextInt(LONG),
                            random.nextInt(60_000)));
            if (random.nextInt(4) == 0) {
                test.queue.next(entry -> true).ifPresent(test.queue::remove);
            }
            assertThat(test.capacity.requests()).isAtMost(REQUESTS);
            assertThat(test.capacity.bytes()).isAtMost(BYTES);
            assertThat(test.queue.entries()).hasSize(test.capacity.requests());
        }
    }
}
