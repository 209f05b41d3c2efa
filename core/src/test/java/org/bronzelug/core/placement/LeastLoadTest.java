package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzelug.core.placement.LeastLoad.Candidate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the choice of the endpoint for a request that does not benefit from a cache. */
class LeastLoadTest {
    @ParameterizedTest
    @CsvSource({
        "near idle chooses near, 0, 5, false, near",
        "near half full chooses far, 3, 0, false, far",
        "near suspect chooses far, 0, 2, true, far",
    })
    void prefersTheSameZoneUnlessHalfFullOrSuspect(
            String name, int nearRequests, int farRequests, boolean suspect, String expected) {
        Candidate near = new Candidate("near", true, suspect, nearRequests, 6);
        Candidate far = new Candidate("far", false, false, farRequests, 6);
        assertThat(LeastLoad.choose(List.of(far, near)).orElseThrow().endpoint())
                .isEqualTo(expected);
    }

    @Test
    void choosesNothingWithoutCandidates() {
        assertThat(LeastLoad.choose(List.of())).isEmpty();
    }
}
