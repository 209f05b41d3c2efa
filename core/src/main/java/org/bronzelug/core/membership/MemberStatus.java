package org.bronzelug.core.membership;

import java.util.OptionalLong;

/**
 * What is known of one VM. Immutable.
 *
 * @param identity the newest incarnation heard of
 * @param lastSeenNanos local monotonic time at which it lived
 * @param syncedAsOfNanos local monotonic time; everything that the VM, while settled, knew then is
 *     known here; empty where there was no such time
 * @param draining whether the VM has said that it is about to stop
 */
public record MemberStatus(
        MemberIdentity identity,
        long lastSeenNanos,
        OptionalLong syncedAsOfNanos,
        boolean draining) {}
