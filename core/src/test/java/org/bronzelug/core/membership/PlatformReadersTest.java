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

/**
 * Guards against withdrawn keys that keep working because no VM of an availability zone reads from
 * the platform.
 */
class PlatformReadersTest {
    private static Candidate vm(int number, boolean lost) {
        return new Candidate("vm-" + number, "zone-" + number % 4, "address", !lost, lost);
    }

    private static boolean isReader(Candidate self, List<Candidate> all) {
        List<Candidate> reachable = new ArrayList<>(all);
        reachable.remove(self);
        return PlatformReaders.isReader(self, reachable, all.size());
    }

    /**
     * Any VMs may be unable to reach the platform. Each zone with a candidate that reaches it still
     * has a reader, and the number of VMs that call the platform stays bounded however many cannot
     * reach it.
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
     * The reader of each zone is cut off from the platform: another VM reads instead, and the
     * reader keeps trying.
     */
    @Test
    void readersThatLostThePlatformAreReplaced() {
        List<Candidate> all = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            all.add(vm(number, false));
        }
        Set<Candidate> readersBefore =
                all.stream().filter(self -> isReader(self, all)).collect(Collectors.toSet());
        List<Candidate> afterCut =
                all.stream()
                        .map(
                                vm ->
                                        new Candidate(
                                                vm.name(),
                                                vm.availabilityZone(),
                                                vm.address(),
                                                !readersBefore.contains(vm),
                                                readersBefore.contains(vm)))
                        .toList();
        List<Candidate> readersAfter =
                afterCut.stream().filter(self -> isReader(self, afterCut)).toList();
        assertThat(readersBefore).hasSize(4);
        assertThat(readersAfter).hasSize(8);
        assertThat(
                        PlatformReaders.sources(afterCut.get(0), readersAfter).stream()
                                .noneMatch(Candidate::platformUnreachable))
                .isTrue();
    }

    /**
     * Guards against all VMs listing and watching all kinds of objects at once when they start
     * together: they wait by rank.
     */
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

    /**
     * If no VM checked, a lost watch would hide a withdrawn key; if all did, each check would be
     * paid for many times.
     */
    @Property
    void exactlyOneOfTheVmsThatReachThePlatformChecks(
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
                                    List<Candidate> reachable = new ArrayList<>(all);
                                    reachable.remove(self);
                                    return PlatformReaders.isChecker(self, reachable);
                                })
                        .toList();
        assertThat(checkers).hasSize(all.stream().allMatch(Candidate::platformUnreachable) ? 0 : 1);
        assertThat(checkers.stream().noneMatch(Candidate::platformUnreachable)).isTrue();
    }

    @Test
    void vmThatReachesNoOtherVmReadsThePlatform() {
        assertThat(PlatformReaders.isReader(vm(1, false), List.of(), 80)).isTrue();
    }
}
