package org.bronzelug.core.membership;

import java.util.OptionalLong;

/**
 * What this VM knows about another VM.
 *
 * <p>Invariant: from one status of a VM to the next, neither of the two times decreases, whatever
 * the order in which reports arrive. Immutable.
 *
 * @param identity the newest incarnation seen
 * @param lastSeenNanos the latest local monotonic time at which the VM is known to have been
 *     running
 * @param syncedAsOfNanos the local monotonic time as of which this VM is synchronized with the
 *     other one: all that the other VM held at that time, while it was caught up, is held here too;
 *     empty if there is no such time
 * @param draining whether the VM has announced that it is about to stop
 */
public record MemberStatus(
        MemberIdentity identity,
        long lastSeenNanos,
        OptionalLong syncedAsOfNanos,
        boolean draining) {}
