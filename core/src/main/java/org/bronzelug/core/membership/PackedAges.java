package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The member ages of a {@link ProbeReport} packed into one byte per member, in the order of a
 * {@link MemberIndex}.
 *
 * <p>With names and incarnations, a report about 350 VMs takes 12 KB and is sent several times per
 * second. A byte counts units of 10 ms, rounded up, and stands for both ages of a member, of which
 * it takes the greater. Invariant: an unpacked age is never lower than the packed one, so a
 * receiver never takes its configuration for fresher than it is.
 *
 * <p>A member is sent with its name instead if it has only one age, if its two ages differ by more
 * than a few units, or if it is about to stop. A member last seen longer ago than a byte can count
 * is left out, since no receiver can use its age.
 *
 * <p>Immutable.
 *
 * @param ages one byte for each member of the index
 * @param individualAges the members that are sent with their names because one byte cannot
 *     represent them
 */
public record PackedAges(byte[] ages, List<ProbeReport.MemberAge> individualAges) {
    static final long UNIT_NANOS = 10_000_000;
    private static final int NO_AGE = 255;
    private static final long MAXIMUM_AGE_NANOS = (NO_AGE - 1) * UNIT_NANOS;
    private static final long MAXIMUM_LAG_NANOS = 5 * UNIT_NANOS;

    public PackedAges {
        ages = ages.clone();
        individualAges = List.copyOf(individualAges);
    }

    @Override
    public byte[] ages() {
        return ages.clone();
    }

    /** Packs the members of a report. */
    public static PackedAges pack(MemberIndex index, List<ProbeReport.MemberAge> members) {
        Map<MemberIdentity, ProbeReport.MemberAge> byIdentity = new HashMap<>();
        members.forEach(member -> byIdentity.put(member.identity(), member));
        byte[] ages = new byte[index.members().size()];
        Arrays.fill(ages, (byte) NO_AGE);
        for (int position = 0; position < ages.length; position++) {
            ProbeReport.MemberAge member = byIdentity.get(index.members().get(position));
            if (member != null && fitsInByte(member)) {
                ages[position] = (byte) roundUpToUnits(member.syncedAgeNanos().orElseThrow());
                byIdentity.remove(member.identity());
            }
        }
        byIdentity.values().removeIf(member -> member.lastSeenAgeNanos() > MAXIMUM_AGE_NANOS);
        return new PackedAges(ages, List.copyOf(byIdentity.values()));
    }

    private static boolean fitsInByte(ProbeReport.MemberAge member) {
        OptionalLong syncedAge = member.syncedAgeNanos();
        if (member.draining() || syncedAge.isEmpty()) {
            return false;
        }
        long lag = syncedAge.getAsLong() - member.lastSeenAgeNanos();
        return lag >= 0 && lag <= MAXIMUM_LAG_NANOS && syncedAge.getAsLong() <= MAXIMUM_AGE_NANOS;
    }

    private static long roundUpToUnits(long nanos) {
        return (Math.max(0, nanos) + UNIT_NANOS - 1) / UNIT_NANOS;
    }

    /**
     * Unpacks the ages that a peer with the same index has sent.
     *
     * @return an empty list if the number of bytes is not the number of members in the index
     */
    public static List<ProbeReport.MemberAge> unpack(MemberIndex index, byte[] ages) {
        List<ProbeReport.MemberAge> members = new ArrayList<>();
        if (ages.length != index.members().size()) {
            return members;
        }
        for (int position = 0; position < ages.length; position++) {
            int units = Byte.toUnsignedInt(ages[position]);
            if (units != NO_AGE) {
                long age = units * UNIT_NANOS;
                members.add(
                        new ProbeReport.MemberAge(
                                index.members().get(position), age, OptionalLong.of(age), false));
            }
        }
        return members;
    }
}
