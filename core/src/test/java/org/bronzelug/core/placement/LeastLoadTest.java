package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
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
        assertThat(LeastLoad.chooseBySpeed(List.of(), 0, 0)).isEmpty();
    }

    private static Candidate withSpeed(
            String id, boolean suspect, int requests, int slots, double speed) {
        return new Candidate(id, true, suspect, requests, slots, speed);
    }

    @ParameterizedTest
    @CsvSource({
        "slow and idle against fast and busy, 0, 0.4, false, 1, 1.6, fast",
        "slow and idle against fast and full, 0, 0.6, false, 6, 1.6, slow",
        "a suspect one comes last, 5, 0.6, true, 0, 1.6, slow",
        "a full one comes last, 5, 0.1, false, 6, 10, slow",
    })
    void prefersTheShorterTimeToServe(
            String name,
            int slowRequests,
            double slowSpeed,
            boolean fastSuspect,
            int fastRequests,
            double fastSpeed,
            String expected) {
        Candidate slow = withSpeed("slow", false, slowRequests, 6, slowSpeed);
        Candidate fast = withSpeed("fast", fastSuspect, fastRequests, 6, fastSpeed);
        for (double draw = 0; draw < 1; draw += 0.1) {
            Candidate chosen =
                    LeastLoad.chooseBySpeed(List.of(slow, fast), draw, 1 - draw).orElseThrow();
            assertThat(chosen.endpoint()).isEqualTo(expected);
        }
    }

    /** 89 VMs that know of no request must not all choose the same endpoint. */
    @Test
    void equalEndpointsAreChosenEquallyOften() {
        List<Candidate> idle =
                List.of(
                        withSpeed("a", false, 0, 6, 1),
                        withSpeed("b", false, 0, 6, 1),
                        withSpeed("c", false, 0, 6, 1));
        Random random = new Random(1);
        int[] chosen = new int[3];
        for (int vm = 0; vm < 3_000; vm++) {
            Candidate best =
                    LeastLoad.chooseBySpeed(idle, random.nextDouble(), random.nextDouble())
                            .orElseThrow();
            chosen[best.endpoint().charAt(0) - 'a']++;
        }
        for (int count : chosen) {
            assertThat(count).isGreaterThan(800);
        }
    }
}
