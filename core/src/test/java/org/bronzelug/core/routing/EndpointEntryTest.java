package org.bronzelug.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an endpoint with a value that a later step rejects, in the middle of an update of
 * all endpoints, whichever decoder or peer the value came from.
 */
class EndpointEntryTest {
    private static final String ADDRESS = "127.0.0.1:80";
    private static final String LONG = "n".repeat(EndpointEntry.MAXIMUM_NAME_CHARACTERS);

    private static EndpointEntry entry(String id, String address, int slots, long bornMillis) {
        return new EndpointEntry(
                id, "pool", address, "zone", "v1", slots, false, bornMillis, Map.of("model", 1L));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a\nb", "\u00e9", "a\u007f"})
    void anIdThatNoHeaderCanContainIsRejected(String id) {
        assertThrows(IllegalArgumentException.class, () -> entry(id, ADDRESS, 1, 0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "999.1.1.1:80"})
    void anAddressThatNoSocketConnectsToIsRejected(String address) {
        assertThrows(IllegalArgumentException.class, () -> entry("a", address, 1, 0));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "-1, 0", "100001, 0", "2147483647, 0", "1, -1"})
    void aNumberOutOfItsRangeIsRejected(int slots, long bornMillis) {
        assertThrows(IllegalArgumentException.class, () -> entry("a", ADDRESS, slots, bornMillis));
    }

    /**
     * @param field the position of the only long name
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void aLongNameIsRejected(int field) {
        String[] names = {"a", "pool", "zone", "version", "model"};
        names[field] = LONG;
        assertThat(entry(names).slots()).isEqualTo(1);
        names[field] = LONG + "n";
        assertThrows(IllegalArgumentException.class, () -> entry(names));
    }

    private static EndpointEntry entry(String[] names) {
        Map<String, Long> weights = Map.of(names[4], 1L);
        return new EndpointEntry(
                names[0], names[1], ADDRESS, names[2], names[3], 1, false, 0, weights);
    }
}
