package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * The incarnations that a VM knows of, itself included, in the order of their names.
 *
 * <p>Two VMs whose rolls have the same digest need no names to speak of members: the place in the
 * roll says which one is meant. Immutable.
 */
public final class MemberIndex {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final List<MemberIdentity> members;
    private final long digest;

    private MemberIndex(List<MemberIdentity> members, long digest) {
        this.members = members;
        this.digest = digest;
    }

    /** The roll of these incarnations, at most one a VM. */
    public static MemberIndex of(Collection<MemberIdentity> identities) {
        List<MemberIdentity> sorted = new ArrayList<>(identities);
        sorted.sort(Comparator.comparing(MemberIdentity::vm));
        long digest = 0;
        for (MemberIdentity identity : sorted) {
            digest ^= HASH.hashChars(identity.toString());
        }
        return new MemberIndex(List.copyOf(sorted), digest);
    }

    public List<MemberIdentity> members() {
        return members;
    }

    /** Of names and incarnations; equal for equal rolls, and else different but by bad luck. */
    public long digest() {
        return digest;
    }
}
