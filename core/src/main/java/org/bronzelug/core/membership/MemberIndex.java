package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * The incarnations that a VM knows, including its own, ordered by VM name.
 *
 * <p>Messages between two VMs whose indexes have the same digest identify a member by its position
 * in the index instead of by its name and incarnation. The digest covers the incarnations as well,
 * so a position never refers to a previous incarnation of a restarted VM. Immutable.
 */
public final class MemberIndex {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final List<MemberIdentity> members;
    private final long digest;

    private MemberIndex(List<MemberIdentity> members, long digest) {
        this.members = members;
        this.digest = digest;
    }

    /** Creates the index of the given incarnations, at most one for each VM. */
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

    /**
     * Returns a 64-bit hash of the names and incarnations. Equal indexes have equal digests;
     * different indexes have equal digests only through a hash collision.
     */
    public long digest() {
        return digest;
    }
}
