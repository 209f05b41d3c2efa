package org.bronzelug.core.poison;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

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

    boolean isOf(String pool) {
        return parts.stream().allMatch(part -> part.pool().equals(pool));
    }

    /** Returns the same for requests that are sent to a pool. */
    QuarantinedParts in(String pool) {
        Set<PartKey> there =
                parts.stream()
                        .map(part -> new PartKey(pool, part.id()))
                        .collect(Collectors.toSet());
        return new QuarantinedParts(
                there, softwareVersions, sinceNanos, untilNanos, times, confirmed);
    }

    Set<String> versionsWith(String softwareVersion) {
        Set<String> versions = new HashSet<>(softwareVersions);
        versions.add(softwareVersion);
        return versions;
    }

    QuarantinedParts confirm() {
        return new QuarantinedParts(parts, softwareVersions, sinceNanos, untilNanos, times, true);
    }
}
