package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Checks that unpacked ages are never lower than those in the report, and only slightly higher.
 *
 * <p>Guards against a withdrawn key that works on a VM which takes itself for fresh: if an age were
 * rounded down while it travels, the receiver would take its configuration for newer than it is.
 */
class PackedAgesTest {
    private static final long MILLI = 1_000_000;
    private static final long STALENESS_BOUND = 2_000 * MILLI;

    /** The member index of some VMs, and what one of them knows about the others. */
    private record Sample(MemberIndex memberIndex, List<ProbeReport.MemberAge> members) {}

    private static Sample randomSample(Random random) {
        List<MemberIdentity> identities = new ArrayList<>();
        List<ProbeReport.MemberAge> members = new ArrayList<>();
        int count = 1 + random.nextInt(40);
        for (int index = 0; index < count; index++) {
            MemberIdentity identity =
                    new MemberIdentity("vm-" + index, Long.toHexString(random.nextLong()));
            identities.add(identity);
            if (random.nextInt(8) > 0) {
                long lastSeen = (long) (random.nextDouble() * 3_000 * MILLI);
                long lag = random.nextBoolean() ? random.nextInt(40) * MILLI : lastSeen;
                OptionalLong syncedAge =
                        random.nextInt(5) == 0
                                ? OptionalLong.empty()
                                : OptionalLong.of(lastSeen + lag);
                members.add(
                        new ProbeReport.MemberAge(
                                identity, lastSeen, syncedAge, random.nextInt(9) == 0));
            }
        }
        return new Sample(MemberIndex.of(identities), members);
    }

    private static List<ProbeReport.MemberAge> packAndUnpack(Sample sample) {
        PackedAges packed = PackedAges.pack(sample.memberIndex, sample.members);
        List<ProbeReport.MemberAge> received = PackedAges.unpack(sample.memberIndex, packed.ages());
        received.addAll(packed.individualAges());
        return received;
    }

    @Property(seed = "8801")
    void unpackedAgesAreNeverLowerThanReported(@ForAll long seed) {
        Sample sample = randomSample(new Random(seed));
        Map<MemberIdentity, ProbeReport.MemberAge> ageByIdentity = new HashMap<>();
        sample.members.forEach(member -> ageByIdentity.put(member.identity(), member));
        for (ProbeReport.MemberAge unpacked : packAndUnpack(sample)) {
            ProbeReport.MemberAge reported = ageByIdentity.get(unpacked.identity());
            assertThat(reported).isNotNull();
            assertThat(unpacked.lastSeenAgeNanos()).isAtLeast(reported.lastSeenAgeNanos());
            assertThat(unpacked.draining()).isEqualTo(reported.draining());
            if (unpacked.syncedAgeNanos().isPresent()) {
                assertThat(unpacked.syncedAgeNanos().getAsLong())
                        .isAtLeast(reported.syncedAgeNanos().orElseThrow());
            }
        }
    }

    @Property(seed = "8802")
    void recentlySeenMembersKeepTheirAgesWithinSixtyMilliseconds(@ForAll long seed) {
        Sample sample = randomSample(new Random(seed));
        Map<MemberIdentity, ProbeReport.MemberAge> received = new HashMap<>();
        packAndUnpack(sample).forEach(member -> received.put(member.identity(), member));
        for (ProbeReport.MemberAge member : sample.members) {
            if (member.lastSeenAgeNanos() > STALENESS_BOUND) {
                continue;
            }
            ProbeReport.MemberAge unpacked = received.get(member.identity());
            assertThat(unpacked).isNotNull();
            assertThat(unpacked.lastSeenAgeNanos() - member.lastSeenAgeNanos())
                    .isAtMost(60 * MILLI);
            assertThat(unpacked.syncedAgeNanos().isPresent())
                    .isEqualTo(member.syncedAgeNanos().isPresent());
        }
    }

    /**
     * A restarted VM changes the index, so that ages packed for the previous incarnation are not
     * applied to the new one.
     */
    @Test
    void anotherIncarnationChangesTheDigest() {
        MemberIdentity before = new MemberIdentity("vm-1", "a");
        MemberIdentity after = new MemberIdentity("vm-1", "b");
        assertThat(MemberIndex.of(List.of(before)).digest())
                .isNotEqualTo(MemberIndex.of(List.of(after)).digest());
    }

    @Test
    void bytesOfAnotherLengthAreIgnored() {
        MemberIndex memberIndex = MemberIndex.of(List.of(new MemberIdentity("vm-1", "a")));
        assertThat(PackedAges.unpack(memberIndex, new byte[] {1, 2})).isEmpty();
    }
}
