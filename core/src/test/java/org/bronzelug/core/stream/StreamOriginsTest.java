package org.bronzelug.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a record of a stream's origin that is replaced, lost early or kept for ever. */
class StreamOriginsTest {
    private final StreamOrigins origins = new StreamOrigins();

    private static StreamOrigin origin(String request, String version, long until) {
        return new StreamOrigin(StreamKey.of(Optional.of("team"), request), "pool", version, until);
    }

    @Test
    void theFirstRecordHoldsUntilItExpires() {
        StreamOrigin first = origin("r", "v1", 10);
        origins.record(first, 0);
        origins.record(origin("r", "v2", 20), 5);
        assertThat(origins.find(first.key(), 9)).hasValue(first);
        assertThat(origins.find(first.key(), 10)).isEmpty();
        origins.expire(10);
        assertThat(origins.size()).isEqualTo(0);
    }

    @Test
    void anotherTeamsRequestIsAnotherStream() {
        origins.record(origin("r", "v1", 10), 0);
        assertThat(origins.find(StreamKey.of(Optional.of("other"), "r"), 1)).isEmpty();
        assertThat(origins.find(StreamKey.of(Optional.empty(), "r"), 1)).isEmpty();
    }

    @Test
    void anUnsharedOriginIsTakenOnce() {
        StreamOrigin begun = origin("r", "v1", 10);
        origins.recordUnshared(begun, 0);
        assertThat(origins.unsharedPools()).containsExactly("pool");
        assertThat(origins.takeUnshared("pool", 1)).containsExactly(begun);
        assertThat(origins.takeUnshared("pool", 1)).isEmpty();
        assertThat(origins.find(begun.key(), 1)).hasValue(begun);
    }

    /** Guards against a copy that is lost and never sent again, or that stands for sharing. */
    @Test
    void aCopyIsDueAgainUntilTheOriginIsShared() {
        StreamOrigin begun = origin("r", "v1", 10);
        origins.recordUnshared(begun, 0);
        assertThat(origins.takeDueCopies(1, 3)).containsExactly(begun);
        assertThat(origins.takeDueCopies(3, 3)).isEmpty();
        assertThat(origins.takeDueCopies(4, 3)).containsExactly(begun);
        assertThat(origins.takeUnshared("pool", 5)).containsExactly(begun);
        assertThat(origins.takeDueCopies(7, 3)).isEmpty();
    }

    /** Guards against messages of which nobody has a use. */
    @Test
    void copiesAreDueOfOpenStreamsOnly() {
        StreamOrigin complete = origin("complete", "v1", 10);
        StreamOrigin expired = origin("expired", "v1", 3);
        StreamOrigin open = origin("open", "v1", 10);
        for (StreamOrigin begun : List.of(complete, expired, open)) {
            origins.recordUnshared(begun, 0);
        }
        origins.recordComplete(complete.key());
        assertThat(origins.takeDueCopies(5, 3)).containsExactly(open);
        assertThat(origins.find(complete.key(), 5)).hasValue(complete);
    }

    @Test
    void theLatestOriginsAreKept() {
        for (int stream = 0; stream <= StreamOrigins.MAXIMUM_ORIGINS; stream++) {
            origins.recordUnshared(origin("r" + stream, "v1", 10), 0);
        }
        assertThat(origins.size()).isEqualTo(StreamOrigins.MAXIMUM_ORIGINS);
        assertThat(origins.find(origin("r0", "v1", 10).key(), 1)).isEmpty();
        assertThat(origins.takeUnshared("pool", 1)).hasSize(StreamOrigins.MAXIMUM_ORIGINS);
    }
}
