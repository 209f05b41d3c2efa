package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The ages of a report as one byte a member, in the order of a {@link MemberIndex}.
 *
 * <p>With names and incarnations a report of 350 VMs takes 12 KB, several times a second. A byte
 * counts tens of milliseconds, rounded up, and stands for both ages of a member, the older one: so
 * what is unpacked never claims more than what was packed. A member whose two ages differ by much,
 * or that is about to stop, stays out and travels with its name; one not heard of for longer than a
 * byte counts says nothing to anybody.
 *
 * <p>Immutable.
 *
 * @param ages one byte a member of the roll
 * @param named the members that a byte does not do for
 */
public record PackedAges(byte[] ages, List<ProbeReport.MemberAge> named) {
    static final long UNIT_NANOS = 10_000_000;
    private static final int NO_CLAIM = 255;
    private static final long MAXIMUM_NANOS = (NO_CLAIM - 1) * UNIT_NANOS;
    private static final long MAXIMUM_LAG_NANOS = 5 * UNIT_NANOS;

    public PackedAges {
        ages = ages.clone();
        named = List.copyOf(named);
    }

    @Override
    public byte[] ages() {
        return ages.clone();
    }

    /** Packs the members of a report. */
    public static PackedAges pack(MemberIndex roll, List<ProbeReport.MemberAge> members) {
        Map<MemberIdentity, ProbeReport.MemberAge> byIdentity = new HashMap<>();
        members.forEach(member -> byIdentity.put(member.identity(), member));
        byte[] ages = new byte[roll.members().size()];
        Arrays.fill(ages, (byte) NO_CLAIM);
        for (int place = 0; place < ages.length; place++) {
            ProbeReport.MemberAge member = byIdentity.get(roll.members().get(place));
            if (member != null && fitsInByte(member)) {
                ages[place] = (byte) unitsUp(member.syncedAgeNanos().orElseThrow());
                byIdentity.remove(member.identity());
            }
        }
        byIdentity.values().removeIf(member -> member.lastSeenAgeNanos() > MAXIMUM_NANOS);
        return new PackedAges(ages, List.copyOf(byIdentity.values()));
    }

    private static boolean fitsInByte(ProbeReport.MemberAge member) {
        OptionalLong covered = member.syncedAgeNanos();
        if (member.draining() || covered.isEmpty()) {
            return false;
        }
        long lag = covered.getAsLong() - member.lastSeenAgeNanos();
        return lag >= 0 && lag <= MAXIMUM_LAG_NANOS && covered.getAsLong() <= MAXIMUM_NANOS;
    }

    private static long unitsUp(long nanos) {
        return (Math.max(0, nanos) + UNIT_NANOS - 1) / UNIT_NANOS;
    }

    /**
     * The members that bytes of a peer speak of.
     *
     * @return nothing where the bytes are not of this roll's length
     */
    public static List<ProbeReport.MemberAge> unpack(MemberIndex roll, byte[] ages) {
        List<ProbeReport.MemberAge> members = new ArrayList<>();
        if (ages.length != roll.members().size()) {
            return members;
        }
        for (int place = 0; place < ages.length; place++) {
            int units = Byte.toUnsignedInt(ages[place]);
            if (units != NO_CLAIM) {
                long age = units * UNIT_NANOS;
                members.add(
                        new ProbeReport.MemberAge(
                                roll.members().get(place), age, OptionalLong.of(age), false));
            }
        }
        return members;
    }
}
