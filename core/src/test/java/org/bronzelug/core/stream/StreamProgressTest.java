package org.bronzelug.core.stream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * A stream arrives whole and in order over several attempts.
 *
 * <p>What the caller would see: a doubled or missing word. The order: a runner freezes after some
 * chunks, the stream moves, the first runner wakes and sends on. Why: both send chunks of the same
 * numbers, and only one of them may be heard.
 */
class StreamProgressTest {
    private static final int CHUNKS = 30;

    @Property(seed = "7501")
    void everyChunkOnceAndInOrder(@ForAll long seed) throws StreamGapException {
        Random random = new Random(seed);
        StreamProgress progress = new StreamProgress(0, "");
        List<StreamProgress.Attempt> attempts = new ArrayList<>();
        List<Integer> next = new ArrayList<>();
        List<Integer> delivered = new ArrayList<>();
        while (progress.nextOffset() < CHUNKS) {
            boolean move = attempts.isEmpty() || random.nextInt(10) == 0;
            if (move) {
                attempts.add(progress.startAttempt());
                next.add(attempts.get(attempts.size() - 1).startOffset());
            }
            // Any attempt, also one long given up, sends its next chunk.
            int index = random.nextInt(attempts.size());
            int offset = next.get(index);
            next.set(index, offset + 1);
            if (progress.accept(attempts.get(index).number(), offset, "c" + offset + " ")) {
                delivered.add(offset);
            }
        }
        for (int index = 0; index < CHUNKS; index++) {
            assertThat(delivered.get(index)).isEqualTo(index);
        }
        assertThat(delivered).hasSize(CHUNKS);
        assertThat(progress.textSoFar().orElseThrow().split(" ")).hasLength(CHUNKS);
    }

    @Test
    void aRunnerThatLeavesAChunkOutIsNoticed() throws StreamGapException {
        StreamProgress progress = new StreamProgress(0, "");
        StreamProgress.Attempt attempt = progress.startAttempt();
        progress.accept(attempt.number(), 0, "a");
        assertThrows(StreamGapException.class, () -> progress.accept(attempt.number(), 2, "c"));
        assertThat(progress.startAttempt().startOffset()).isEqualTo(1);
    }

    @Test
    void aResumedStreamStartsWhereTheCallerIs() throws StreamGapException {
        StreamProgress progress = new StreamProgress(5, "abcde");
        StreamProgress.Attempt attempt = progress.startAttempt();
        assertThat(attempt.startOffset()).isEqualTo(5);
        assertThat(attempt.textSoFar()).isEqualTo("abcde");
        assertThat(progress.accept(attempt.number(), 4, "e")).isFalse();
        assertThat(progress.accept(attempt.number(), 5, "f")).isTrue();
    }

    @Test
    void anEndOfAnEarlierAttemptEndsNothing() {
        StreamProgress progress = new StreamProgress(0, "");
        StreamProgress.Attempt first = progress.startAttempt();
        StreamProgress.Attempt second = progress.startAttempt();
        assertThat(progress.finish(first.number())).isFalse();
        assertThat(progress.finish(second.number())).isTrue();
        assertThat(progress.finish(second.number())).isFalse();
    }
}
