package org.bronzelug.router.stream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against events that a caller receives twice, partially or not at all: a runner dies in the
 * middle of an event, and the stream continues at another runner, which starts a little earlier or
 * later.
 */
class EventSplitterTest {
    private static String event(int id) {
        return "id: " + id + "\ndata: token " + id + "\n\n";
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append(event(id));
        }
        return text.toString();
    }

    private static String passThrough(EventSplitter splitter, String text) {
        splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        StringBuilder passed = new StringBuilder();
        for (Optional<ByteBuf> event = splitter.next();
                event.isPresent();
                event = splitter.next()) {
            passed.append(event.get().toString(StandardCharsets.UTF_8));
            event.get().release();
        }
        return passed.toString();
    }

    @Property(seed = "14")
    void streamIsCompleteForAnyBreakAndAnySplitIntoBuffers(
            @ForAll @IntRange(min = 1, max = 20) int count,
            @ForAll @IntRange(min = 0, max = 600) int breakAt,
            @ForAll @IntRange(min = 0, max = 3) int repeated,
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 40) Integer> cuts) {
        String whole = events(1, count);
        String first = whole.substring(0, Math.min(breakAt, whole.length()));
        EventSplitter splitter = new EventSplitter();
        StringBuilder passed = new StringBuilder();
        int at = 0;
        for (int cut : cuts) {
            int end = Math.min(first.length(), at + cut);
            passed.append(passThrough(splitter, first.substring(at, end)));
            at = end;
        }
        passed.append(passThrough(splitter, first.substring(at)));
        splitter.dropBuffered();
        int last = (int) splitter.lastId().orElse(0);
        passed.append(passThrough(splitter, events(Math.max(1, last + 1 - repeated), count)));
        assertThat(passed.toString()).isEqualTo(whole);
        assertThat(splitter.hasGap()).isFalse();
        splitter.release();
    }

    /** Guards against a stream of which nothing is forwarded, since its lines end with CR. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void wholeEventsAreReturnedForEachLineEnd(String lineEnd) {
        String stream = events(1, 3).replace("\n", lineEnd);
        EventSplitter splitter = new EventSplitter();
        StringBuilder passed = new StringBuilder();
        for (char next : stream.toCharArray()) {
            passed.append(passThrough(splitter, String.valueOf(next)));
        }
        assertThat(passed.toString()).isEqualTo(stream);
        assertThat(splitter.lastId().orElseThrow()).isEqualTo(3);
        splitter.release();
    }

    /** Guards against a whole stream that is taken for broken off. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void blankLinesAfterAnEventAreNoPartialEvent(String lineEnd) {
        String stream = events(1, 2).replace("\n", lineEnd) + lineEnd;
        EventSplitter splitter = new EventSplitter();
        assertThat(passThrough(splitter, stream)).isEqualTo(stream);
        assertThat(splitter.position()).isEqualTo(EventBoundary.Position.AFTER_EVENT);
        splitter.release();
    }

    @Test
    void missingEventIsReportedAsGap() {
        EventSplitter splitter = new EventSplitter();
        passThrough(splitter, event(1) + event(3));
        assertThat(splitter.hasGap()).isTrue();
        splitter.release();
    }
}
