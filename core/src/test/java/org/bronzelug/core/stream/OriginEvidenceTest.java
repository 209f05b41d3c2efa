package org.bronzelug.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against a version that is concluded though a VM that can be reached or the platform knows
 * another one, or by a minority of the fleet, whichever VMs have missed a release and answer.
 */
class OriginEvidenceTest {
    private static OriginEvidence.Answer answer(boolean watched, boolean knows) {
        Set<String> versions = knows ? Set.of("v1", "v2") : Set.of("v1");
        return new OriginEvidence.Answer(Optional.empty(), versions, watched);
    }

    private static boolean isSet(int bits, int index) {
        return (bits >> index & 1) == 1;
    }

    /**
     * Each bit stands for a VM; the first one looks the version up.
     *
     * @param knowing the VMs that know the other version
     * @param reached the VMs that answer
     * @param watching the VMs that have watched the list
     */
    @Property(tries = 2_000, seed = "43")
    void aVersionIsConcludedOnlyWithAWitness(
            @ForAll @IntRange(min = 1, max = 9) int fleetSize,
            @ForAll @IntRange(max = 511) int knowing,
            @ForAll @IntRange(max = 511) int reached,
            @ForAll @IntRange(max = 511) int watching,
            @ForAll boolean platformRead,
            @ForAll boolean platformComplete,
            @ForAll boolean platformKnows) {
        OriginEvidence evidence = new OriginEvidence();
        OriginEvidence.Answer own = answer(isSet(watching, 0), isSet(knowing, 0));
        boolean contradicted = isSet(knowing, 0);
        int votes = isSet(watching, 0) ? 1 : 0;
        for (int vm = 1; vm < fleetSize; vm++) {
            if (isSet(reached, vm)) {
                boolean watched = isSet(watching, vm);
                evidence.add("vm-" + vm, answer(watched, isSet(knowing, vm)));
                evidence.add("vm-" + vm, answer(watched, isSet(knowing, vm)));
                contradicted |= isSet(knowing, vm);
                votes += watched ? 1 : 0;
            }
        }
        if (platformRead) {
            evidence.addPlatform(
                    platformKnows ? Set.of("v1", "v2") : Set.of("v1"), platformComplete);
            contradicted |= platformKnows;
        }
        boolean platform = platformRead && (platformComplete || isSet(watching, 0));
        boolean witness = platform || 2 * votes > fleetSize;
        boolean certain = platform || votes == fleetSize;
        OptionalInt known = OptionalInt.of(fleetSize);
        assertThat(evidence.soleVersion(own, known).isPresent())
                .isEqualTo(witness && !contradicted);
        assertThat(evidence.certainVersion(own, known).isPresent())
                .isEqualTo(certain && !contradicted);
        assertThat(evidence.hasSeveralVersions(own)).isEqualTo(contradicted);
        if (!platformRead) {
            assertThat(evidence.soleVersion(own, OptionalInt.empty())).isEqualTo(Optional.empty());
        }
    }
}
