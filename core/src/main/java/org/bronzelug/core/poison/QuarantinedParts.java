package org.bronzelug.core.poison;

import java.util.Set;

/**
 * Parts that crash endpoints if a request holds all of them. Immutable.
 *
 * @param parts the parts; several if each of them may be the cause
 * @param softwareVersions the software versions of the endpoints that have crashed
 * @param sinceNanos when the quarantine began, by the local monotonic clock
 * @param untilNanos when it ends
 * @param times how often the parts have been put under quarantine
 * @param confirmed whether another crash has confirmed that they are the cause
 */
public record QuarantinedParts(
        Set<PartKey> parts,
        Set<String> softwareVersions,
        long sinceNanos,
        long untilNanos,
        int times,
        boolean confirmed) {
    public QuarantinedParts {
        parts = Set.copyOf(parts);
        softwareVersions = Set.copyOf(softwareVersions);
    }

    boolean isInForce(long nowNanos) {
        return untilNanos - nowNanos > 0;
    }

    QuarantinedParts confirm() {
        return new QuarantinedParts(parts, softwareVersions, sinceNanos, untilNanos, times, true);
    }
}
