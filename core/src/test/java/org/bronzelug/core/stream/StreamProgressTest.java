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
 * Checks that a stream arrives complete and in order over several attempts.
 *
 * <p>Guards against a duplicated or missing word: a runner freezes after some chunks, the stream
 * moves to another runner, and the first runner resumes sending. Both send chunks with the same
 * numbers, of which only one may be accepted.
 */
class StreamProgressTest {
    private static final int CHUNKS = 30;

    @Property(seed = "7501")
    void deliversEachChunkOnceAndInOrder(@ForAll long seed) throws StreamGapException {
        Random random = new Random(seed);
        StreamProgress progress = new StreamProgress(0, "");
        List<StreamProgress.Attempt> attempts = new ArrayList<>();
        List<Integer> next = new ArrayList<>();
        List<Integer> delivered = new ArrayList<>();
        while (progress.nextOffset() < CHUNKS) {
            boolean startsAttempt = attempts.isEmpty() || random.nextInt(10) == 0;
            if (startsAttempt) {
                attempts.add(progress.startAttempt());
                next.add(attempts.get(attempts.size() - 1).startOffset());
            }
            // Any attempt, even one abandoned long ago, sends its next chunk.
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
    void omittedChunkEndsTheAttemptWithAnException() throws StreamGapException {
        StreamProgress progress = new StreamProgress(0, "");
        StreamProgress.Attempt attempt = progress.startAttempt();
        progress.accept(attempt.number(), 0, "a");
        assertThrows(StreamGapException.class, () -> progress.accept(attempt.number(), 2, "c"));
        assertThat(progress.startAttempt().startOffset()).isEqualTo(1);
    }

    @Test
    void resumedStreamStartsAfterTheChunksThatTheCallerHas() throws StreamGapException {
        StreamProgress progress = new StreamProgress(5, "abcde");
        StreamProgress.Attempt attempt = progress.startAttempt();
        assertThat(attempt.startOffset()).isEqualTo(5);
        assertThat(attempt.textSoFar()).isEqualTo("abcde");
        assertThat(progress.accept(attempt.number(), 4, "e")).isFalse();
        assertThat(progress.accept(attempt.number(), 5, "f")).isTrue();
    }

    @Test
    void endOfAnEarlierAttemptDoesNotEndTheStream() {
        StreamProgress progress = new StreamProgress(0, "");
        StreamProgress.Attempt first = progress.startAttempt();
        StreamProgress.Attempt second = progress.startAttempt();
        assertThat(progress.finish(first.number())).isFalse();
        assertThat(progress.finish(second.number())).isTrue();
        assertThat(progress.finish(second.number())).isFalse();
    }
}
