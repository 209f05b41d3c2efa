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
 * Packed ages never claim more than the report that they were packed from, and lose little.
 *
 * <p>What the caller would see: a withdrawn key that works at a VM which took itself for fresh. The
 * order: an age is rounded down on its way, and the VM takes its knowledge for newer than it is.
 */
class PackedAgesTest {
    private static final long MILLI = 1_000_000;
    private static final long LIMIT = 2_000 * MILLI;

    /** The roll of some VMs, and what one of them knows of the others. */
    private record Drawn(MemberIndex roll, List<ProbeReport.MemberAge> members) {}

    private static Drawn draw(Random random) {
        List<MemberIdentity> identities = new ArrayList<>();
        List<ProbeReport.MemberAge> members = new ArrayList<>();
        int count = 1 + random.nextInt(40);
        for (int index = 0; index < count; index++) {
            MemberIdentity identity =
                    new MemberIdentity("vm-" + index, Long.toHexString(random.nextLong()));
            identities.add(identity);
            if (random.nextInt(8) > 0) {
                long heard = (long) (random.nextDouble() * 3_000 * MILLI);
                long lag = random.nextBoolean() ? random.nextInt(40) * MILLI : heard;
                OptionalLong covered =
                        random.nextInt(5) == 0
                                ? OptionalLong.empty()
                                : OptionalLong.of(heard + lag);
                members.add(
                        new ProbeReport.MemberAge(
                                identity, heard, covered, random.nextInt(9) == 0));
            }
        }
        return new Drawn(MemberIndex.of(identities), members);
    }

    private static List<ProbeReport.MemberAge> thereAndBack(Drawn drawn) {
        PackedAges packed = PackedAges.pack(drawn.roll, drawn.members);
        List<ProbeReport.MemberAge> received = PackedAges.unpack(drawn.roll, packed.ages());
        received.addAll(packed.named());
        return received;
    }

    @Property(seed = "8801")
    void neverClaimsMoreThanTheReport(@ForAll long seed) {
        Drawn drawn = draw(new Random(seed));
        Map<MemberIdentity, ProbeReport.MemberAge> sent = new HashMap<>();
        drawn.members.forEach(member -> sent.put(member.identity(), member));
        for (ProbeReport.MemberAge claim : thereAndBack(drawn)) {
            ProbeReport.MemberAge known = sent.get(claim.identity());
            assertThat(known).isNotNull();
            assertThat(claim.lastSeenAgeNanos()).isAtLeast(known.lastSeenAgeNanos());
            assertThat(claim.draining()).isEqualTo(known.draining());
            if (claim.syncedAgeNanos().isPresent()) {
                assertThat(claim.syncedAgeNanos().getAsLong())
                        .isAtLeast(known.syncedAgeNanos().orElseThrow());
            }
        }
    }

    @Property(seed = "8802")
    void losesLittleOfWhatMatters(@ForAll long seed) {
        Drawn drawn = draw(new Random(seed));
        Map<MemberIdentity, ProbeReport.MemberAge> received = new HashMap<>();
        thereAndBack(drawn).forEach(member -> received.put(member.identity(), member));
        for (ProbeReport.MemberAge member : drawn.members) {
            if (member.lastSeenAgeNanos() > LIMIT) {
                continue;
            }
            ProbeReport.MemberAge claim = received.get(member.identity());
            assertThat(claim).isNotNull();
            assertThat(claim.lastSeenAgeNanos() - member.lastSeenAgeNanos()).isAtMost(60 * MILLI);
            assertThat(claim.syncedAgeNanos().isPresent())
                    .isEqualTo(member.syncedAgeNanos().isPresent());
        }
    }

    /** Another life of a VM makes another roll: its bytes must not speak of the former one. */
    @Test
    void anotherIncarnationMakesAnotherRoll() {
        MemberIdentity before = new MemberIdentity("vm-1", "a");
        MemberIdentity after = new MemberIdentity("vm-1", "b");
        assertThat(MemberIndex.of(List.of(before)).digest())
                .isNotEqualTo(MemberIndex.of(List.of(after)).digest());
    }

    @Test
    void bytesOfAnotherLengthSayNothing() {
        MemberIndex roll = MemberIndex.of(List.of(new MemberIdentity("vm-1", "a")));
        assertThat(PackedAges.unpack(roll, new byte[] {1, 2})).isEmpty();
    }
}
