package org.bronzelug.router.stream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stream that ends within an event and is taken for complete. */
class EventBoundaryTest {
    private static ByteBuf buffer(String text) {
        String bytes = text.replace("LF", "\n").replace("CR", "\r");
        return Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
    }

    private static EventBoundary.Position positionAfter(String text) {
        EventBoundary boundary = new EventBoundary();
        boundary.scanAll(buffer(text));
        return boundary.position();
    }

    @ParameterizedTest
    @CsvSource({
        "'', BEFORE_FIRST_EVENT",
        "LFLF, BEFORE_FIRST_EVENT",
        "i, WITHIN_EVENT",
        "id: 1, WITHIN_EVENT",
        "id: 1LF, WITHIN_EVENT",
        "id: 1CR, WITHIN_EVENT",
        "id: 1CRLF, WITHIN_EVENT",
        "id: 1LFdata: aLF, WITHIN_EVENT",
        "id: 1LFdata: aLFLF, AFTER_EVENT",
        "id: 1CRLFdata: aCRLFCRLF, AFTER_EVENT",
        "id: 1CRLFdata: aCRLFCR, AFTER_EVENT",
        "id: 1CRdata: aCRCR, AFTER_EVENT",
        "id: 1LFdata: aLFCRLF, AFTER_EVENT",
        "id: 1LFLFLF, AFTER_EVENT",
        "id: 1LFLFid: 2LF, WITHIN_EVENT",
        "id: 1CRLFCRLFid: 2CRLFdata, WITHIN_EVENT",
    })
    void positionAtTheEndOfTheBytes(String text, EventBoundary.Position position) {
        assertThat(positionAfter(text)).isEqualTo(position);
    }

    @ParameterizedTest
    @CsvSource({"LF", "CR", "CRLF"})
    void theEndOfAnEventIsTheEndOfItsBlankLine(String lineEnd) {
        ByteBuf data = buffer("id: 1" + lineEnd + lineEnd + "id: 2" + lineEnd);
        EventBoundary boundary = new EventBoundary();
        int end = boundary.scan(data, 0, data.writerIndex());
        String event = data.toString(0, end, StandardCharsets.US_ASCII);
        assertThat(event)
                .isEqualTo(buffer("id: 1" + lineEnd + lineEnd).toString(StandardCharsets.US_ASCII));
        assertThat(boundary.scan(data, end, data.writerIndex())).isEqualTo(-1);
    }

    @Property(seed = "41")
    void positionDoesNotDependOnTheSplitIntoBuffers(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> symbols,
            @ForAll @IntRange(min = 1, max = 5) int bufferBytes) {
        StringBuilder text = new StringBuilder();
        symbols.forEach(symbol -> text.append("ab\r\n".charAt(symbol)));
        EventBoundary boundary = new EventBoundary();
        for (int at = 0; at < text.length(); at += bufferBytes) {
            int end = Math.min(text.length(), at + bufferBytes);
            boundary.scanAll(buffer(text.substring(at, end)));
        }
        assertThat(boundary.position()).isEqualTo(positionAfter(text.toString()));
    }
}
