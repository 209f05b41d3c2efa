package org.bronzelug.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against names of other writers that add lines to the log, or fill it. */
class EventLogTest {
    @ParameterizedTest
    @ValueSource(strings = {"a\nb", "a\r\nb", "a\u0000b", "a\u001b[31mb", "a\u0085b", "a\tb"})
    void detailsAreOneLine(String details) {
        String line = EventLog.oneLine(details);
        assertThat(line.chars().filter(Character::isISOControl).count()).isEqualTo(0);
        assertThat(line).startsWith("a");
        assertThat(line).endsWith("b");
    }

    @Test
    void detailsAreBounded() {
        assertThat(EventLog.oneLine("n".repeat(900_000)).length())
                .isAtMost(EventLog.MAXIMUM_DETAIL_CHARACTERS + 3);
    }

    @Test
    void otherDetailsAreLoggedAsTheyAre() {
        assertThat(EventLog.oneLine("object=b\u00f8 revision=3"))
                .isEqualTo("object=b\u00f8 revision=3");
    }
}
