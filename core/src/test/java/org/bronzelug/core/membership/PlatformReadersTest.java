package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
import org.junit.jupiter.api.Test;

/** Keys are withdrawn and callers go on with them, as no VM of a zone reads the platform. */
class PlatformReadersTest {
    private static Candidate vm(int number, boolean lost) {
        return new Candidate("vm-" + number, "zone-" + number % 4, "address", !lost, lost);
    }

    private static boolean isReader(Candidate self, List<Candidate> all) {
        List<Candidate> heard = new ArrayList<>(all);
        heard.remove(self);
        return PlatformReaders.isReader(self, heard, all.size());
    }

    /**
     * Any VMs may have lost the platform. Each zone with a candidate that has not still has a VM
     * that reads it; and however many are lost, the platform sees a bounded number.
     */
    @Property
    void eachZoneHasReadersAndTheirNumberIsBounded(
            @ForAll @IntRange(min = 12, max = 120) int size,
            @ForAll @Size(max = 30) Set<@IntRange(max = 119) Integer> lost) {
        List<Candidate> all = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            all.add(vm(number, lost.contains(number)));
        }
        List<Candidate> readers = all.stream().filter(self -> isReader(self, all)).toList();
        assertThat(readers.size()).isAtMost(4 * 4);
        Set<String> zones =
                readers.stream().map(Candidate::availabilityZone).collect(Collectors.toSet());
        assertThat(zones).hasSize(4);
    }

    /**
     * The first of each zone is cut off: another one reads instead, and the first goes on trying.
     */
    @Test
    void readersThatLostThePlatformAreReplaced() {
        List<Candidate> all = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            all.add(vm(number, false));
        }
        Set<Candidate> before =
                all.stream().filter(self -> isReader(self, all)).collect(Collectors.toSet());
        List<Candidate> cut =
                all.stream()
                        .map(
                                vm ->
                                        new Candidate(
                                                vm.name(),
                                                vm.availabilityZone(),
                                                vm.address(),
                                                !before.contains(vm),
                                                before.contains(vm)))
                        .toList();
        List<Candidate> after = cut.stream().filter(self -> isReader(self, cut)).toList();
        assertThat(before).hasSize(4);
        assertThat(after).hasSize(8);
        assertThat(PlatformReaders.sources(cut.get(0), after).stream().noneMatch(Candidate::lost))
                .isTrue();
    }

    /** All VMs start at once: if none waited for another, each would list and watch all kinds. */
    @Test
    void vmsOfAZoneThatStartTogetherHaveDifferentRanks() {
        List<Candidate> all = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            all.add(vm(number, false));
        }
        List<Integer> ranks =
                all.stream()
                        .filter(self -> self.availabilityZone().equals("zone-0"))
                        .map(self -> PlatformReaders.rank(self, all))
                        .toList();
        assertThat(ranks).containsExactly(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    }

    /** Nobody checks, and a lost watch hides a withdrawn key; or all check, and pay for it. */
    @Property
    void oneOfTheVmsThatReachThePlatformChecks(
            @ForAll @IntRange(min = 1, max = 120) int size,
            @ForAll @Size(max = 30) Set<@IntRange(max = 119) Integer> lost) {
        List<Candidate> all = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            all.add(vm(number, lost.contains(number)));
        }
        List<Candidate> checkers =
                all.stream()
                        .filter(
                                self -> {
                                    List<Candidate> heard = new ArrayList<>(all);
                                    heard.remove(self);
                                    return PlatformReaders.isChecker(self, heard);
                                })
                        .toList();
        assertThat(checkers).hasSize(all.stream().allMatch(Candidate::lost) ? 0 : 1);
        assertThat(checkers.stream().noneMatch(Candidate::lost)).isTrue();
    }

    @Test
    void aVmThatHearsNobodyReads() {
        assertThat(PlatformReaders.isReader(vm(1, false), List.of(), 80)).isTrue();
    }
}
